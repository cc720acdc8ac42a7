package org.medlardrum.standins;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.medlardrum.state.LayerRange;

/**
 * Deterministic text of the engine stand-in. Each layer folds its index into the
 * activation, so a token has the expected text only if every layer ran exactly once in
 * order. Example:
 *
 * <pre>{@code
 * TokenFunction function = new TokenFunction("tally", "", "How many calves?");
 * String answer = function.answer(24, 64);
 * }</pre>
 *
 * Immutable and thread-safe.
 */
public final class TokenFunction {

	private static final int SHORTEST_ANSWER_TOKENS = 8;

	private static final int ANSWER_LENGTH_SPREAD_TOKENS = 248;

	private static final int WORD_LETTERS = 5;

	private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;

	private final String prompt;

	private final long seed;

	/**
	 * Creates the function of one request.
	 * @param model name of the model
	 * @param adapter name of the adapter, empty or {@code null} for none
	 * @param prompt the prompt that the engine receives
	 */
	public TokenFunction(String model, String adapter, String prompt) {
		this.prompt = prompt;
		this.seed = mix(hash(model) ^ mix(hash((adapter != null) ? adapter : "") ^ mix(hash(prompt))));
	}

	/**
	 * Returns the number of tokens of the answer: between 8 and 255 as the prompt gives,
	 * cut at the maximum.
	 * @param maxTokens largest number of tokens
	 * @return the number of tokens
	 */
	public int completionLength(int maxTokens) {
		return Math.min(maxTokens, naturalLength());
	}

	/**
	 * Returns why the answer ends.
	 * @param maxTokens largest number of tokens
	 * @return {@code stop} or {@code length}
	 */
	public String endReason(int maxTokens) {
		return (naturalLength() <= maxTokens) ? "stop" : "length";
	}

	/**
	 * Returns the tokens of the whole answer.
	 * @param layerCount number of layers of the model
	 * @param maxTokens largest number of tokens
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
	 * Returns the text of the whole answer.
	 * @param layerCount number of layers of the model
	 * @param maxTokens largest number of tokens
	 * @return the concatenated tokens
	 */
	public String completion(int layerCount, int maxTokens) {
		return String.join("", tokens(layerCount, maxTokens));
	}

	/**
	 * Returns the hash of the request and of the tokens so far.
	 * @param tokens tokens before the next one
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
	 * Extends a hash of the tokens so far.
	 * @param history hash before the token
	 * @param token token to add
	 * @return the hash with the token
	 */
	public static long extendHistoryHash(long history, String token) {
		return mix(history * MULTIPLIER + hash(token));
	}

	/**
	 * Returns the activation before the first layer.
	 * @param history hash of the request and of the tokens before the position
	 * @param position position of the token, from 0
	 * @return the activation
	 */
	public static long initialActivation(long history, int position) {
		return mix(history + MULTIPLIER * (position + 1));
	}

	/**
	 * Runs a range of layers.
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
	 * Returns the token that the last layer's output stands for.
	 * @param activation activation after the last layer
	 * @return the token's text, with a trailing space
	 */
	public static String decodeToken(long activation) {
		StringBuilder word = new StringBuilder(WORD_LETTERS + 1);
		long rest = activation >>> 1;
		for (int i = 0; i < WORD_LETTERS; i++) {
			word.append((char) ('a' + rest % 26));
			rest /= 26;
		}
		return word.append(' ').toString();
	}

	private int naturalLength() {
		return SHORTEST_ANSWER_TOKENS + (int) Long.remainderUnsigned(hash(this.prompt), ANSWER_LENGTH_SPREAD_TOKENS);
	}

	private static long hash(String text) {
		long value = text.length();
		for (byte octet : text.getBytes(StandardCharsets.UTF_8)) {
			value = (value ^ octet) * 0x100000001B3L;
		}
		return mix(value);
	}

	private static long mix(long value) {
		long mixed = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
		return mixed ^ (mixed >>> 31);
	}

}
