package org.medlardrum.standins;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.medlardrum.state.LayerRange;

/**
 * Deterministic function from a prompt to the tokens that the engine stand-ins generate.
 * Each layer mixes its index into the activation, so a token has the expected text only
 * if every layer ran exactly once and in order. Example:
 *
 * <pre>{@code
 * TokenFunction function = new TokenFunction("tally", "", "How many calves?");
 * String text = function.completion(24, 64);
 * }</pre>
 *
 * Immutable and thread-safe.
 */
public final class TokenFunction {

	private static final int MIN_COMPLETION_TOKENS = 8;

	private static final int COMPLETION_LENGTH_RANGE_TOKENS = 248;

	private static final int LETTERS_PER_TOKEN = 5;

	private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;

	private final String prompt;

	private final long seed;

	/**
	 * Creates the function for one request.
	 * @param model name of the model
	 * @param adapter name of the adapter, empty or {@code null} for none
	 * @param prompt the complete prompt, as the engine receives it
	 */
	public TokenFunction(String model, String adapter, String prompt) {
		this.prompt = prompt;
		this.seed = mix(hash(model) ^ mix(hash((adapter != null) ? adapter : "") ^ mix(hash(prompt))));
	}

	/**
	 * Returns the number of tokens of the completion: between 8 and 255, determined by
	 * the prompt, and at most the given maximum.
	 * @param maxTokens limit on the number of generated tokens
	 * @return the number of tokens
	 */
	public int completionLength(int maxTokens) {
		return Math.min(maxTokens, unlimitedLength());
	}

	/**
	 * Returns why the completion ends.
	 * @param maxTokens limit on the number of generated tokens
	 * @return {@code stop} or {@code length}
	 */
	public String endReason(int maxTokens) {
		return (unlimitedLength() <= maxTokens) ? "stop" : "length";
	}

	/**
	 * Returns all generated tokens of the completion.
	 * @param layerCount number of layers of the model
	 * @param maxTokens limit on the number of generated tokens
	 * @return the tokens
	 */
	public List<String> tokens(int layerCount, int maxTokens) {
		int length = completionLength(maxTokens);
		List<String> tokens = new ArrayList<>(length);
		LayerRange all = new LayerRange(0, layerCount);
		long history = historyHash(List.of());
		for (int position = 0; position < length; position++) {
			String token = decodeToken(applyLayers(initialActivation(history, position), all));
			tokens.add(token);
			history = extendHistoryHash(history, token);
		}
		return tokens;
	}

	/**
	 * Returns the text of the completion.
	 * @param layerCount number of layers of the model
	 * @param maxTokens limit on the number of generated tokens
	 * @return the concatenated tokens
	 */
	public String completion(int layerCount, int maxTokens) {
		return String.join("", tokens(layerCount, maxTokens));
	}

	/**
	 * Returns the hash of the request and of the tokens generated so far.
	 * @param tokens tokens before the next position
	 * @return the hash
	 */
	public long historyHash(List<String> tokens) {
		long history = this.seed;
		for (String token : tokens) {
			history = extendHistoryHash(history, token);
		}
		return history;
	}

	/**
	 * Adds a generated token to a hash.
	 * @param history hash of the request and of the tokens before the token
	 * @param token token to add
	 * @return the hash including the token
	 */
	public static long extendHistoryHash(long history, String token) {
		return mix(history * MULTIPLIER + hash(token));
	}

	/**
	 * Returns the input activation of the first layer.
	 * @param history hash of the request and of the tokens before the position
	 * @param position position of the token, from 0
	 * @return the activation
	 */
	public static long initialActivation(long history, int position) {
		return mix(history + MULTIPLIER * (position + 1));
	}

	/**
	 * Applies a range of layers to an activation.
	 * @param activation activation before the first layer of the range
	 * @param layers the layers
	 * @return the activation after the last layer of the range
	 */
	public static long applyLayers(long activation, LayerRange layers) {
		long value = activation;
		for (int layer = layers.fromLayer(); layer < layers.toLayer(); layer++) {
			value = mix(value * MULTIPLIER + layer + 1);
		}
		return value;
	}

	/**
	 * Decodes the output of the last layer to a token.
	 * @param activation activation after the last layer
	 * @return the token's text, with a trailing space
	 */
	public static String decodeToken(long activation) {
		StringBuilder word = new StringBuilder(LETTERS_PER_TOKEN + 1);
		long rest = activation >>> 1;
		for (int i = 0; i < LETTERS_PER_TOKEN; i++) {
			word.append((char) ('a' + rest % 26));
			rest /= 26;
		}
		return word.append(' ').toString();
	}

	private int unlimitedLength() {
		return MIN_COMPLETION_TOKENS + (int) Long.remainderUnsigned(hash(this.prompt), COMPLETION_LENGTH_RANGE_TOKENS);
	}

	// FNV-1a over the UTF-8 bytes, with the length as the initial value.
	private static long hash(String text) {
		long value = text.length();
		for (byte octet : text.getBytes(StandardCharsets.UTF_8)) {
			value = (value ^ octet) * 0x100000001B3L;
		}
		return mix(value);
	}

	// Finaliser of SplitMix64.
	private static long mix(long value) {
		long mixed = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
		return mixed ^ (mixed >>> 31);
	}

}
