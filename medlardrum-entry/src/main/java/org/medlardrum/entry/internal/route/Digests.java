package org.medlardrum.entry.internal.route;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;

/**
 * SHA-256 digests of keys and requests.
 */
public final class Digests {

	private Digests() {
	}

	/**
	 * Returns the SHA-256 digest of a text.
	 * @param text the text
	 * @return the digest in lower-case hexadecimal
	 */
	public static String sha256(String text) {
		return HexFormat.of().formatHex(digest().digest(text.getBytes(StandardCharsets.UTF_8)));
	}

	/**
	 * Returns the fingerprint of a request. Bodies that differ only in white space or in
	 * the order of JSON members have the same fingerprint.
	 * @param organisation name of the organisation
	 * @param route name of the route
	 * @param target method, path and query of a service call, empty for model requests
	 * @param body the body
	 * @return the digest in lower-case hexadecimal
	 */
	public static String fingerprint(String organisation, String route, String target, byte[] body) {
		MessageDigest digest = digest();
		for (String part : new String[] { organisation, route, target }) {
			digest.update(part.getBytes(StandardCharsets.UTF_8));
			digest.update((byte) 0);
		}
		digest.update(canonical(body));
		return HexFormat.of().formatHex(digest.digest());
	}

	private static byte[] canonical(byte[] body) {
		String text = new String(body, StandardCharsets.UTF_8);
		String json = text.stripLeading();
		if (!json.startsWith("{") && !json.startsWith("[")) {
			return body;
		}
		try {
			return sorted(JsonParser.parseString(text)).toString().getBytes(StandardCharsets.UTF_8);
		}
		catch (JsonParseException ex) {
			return body;
		}
	}

	private static JsonElement sorted(JsonElement element) {
		if (element.isJsonObject()) {
			JsonObject object = new JsonObject();
			Map<String, JsonElement> members = new TreeMap<>(element.getAsJsonObject().asMap());
			members.forEach((name, value) -> object.add(name, sorted(value)));
			return object;
		}
		if (element.isJsonArray()) {
			JsonArray array = new JsonArray();
			element.getAsJsonArray().forEach((value) -> array.add(sorted(value)));
			return array;
		}
		return element;
	}

	private static MessageDigest digest() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is missing", ex);
		}
	}

}
