package org.medlardrum.coordination.claims;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.Base64;

/**
 * Hash of an organisation, a route and an idempotency key. 128 bits keep an entry short,
 * and the probability that two keys of different organisations share a hash is
 * negligible.
 *
 * @param bucket bucket of the key, 0 to 63
 * @param id hash of the key, 22 characters of Base64
 */
record ClaimKey(int bucket, String id) {

	static final int BUCKETS = 64;

	private static final int HASH_BYTES = 16;

	static ClaimKey of(String organisation, String route, String idempotencyKey) {
		byte[] hash = sha256(organisation, route, idempotencyKey);
		return new ClaimKey(hash[HASH_BYTES] & (BUCKETS - 1), encode(hash));
	}

	/**
	 * Shortens a request digest of any length.
	 * @param requestDigest digest given by the caller of the ledger
	 * @return the shortened digest, 22 characters of Base64
	 */
	static String shortDigest(String requestDigest) {
		return encode(sha256(requestDigest));
	}

	private static String encode(byte[] hash) {
		return Base64.getUrlEncoder().withoutPadding().encodeToString(Arrays.copyOf(hash, HASH_BYTES));
	}

	private static byte[] sha256(String... parts) {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			for (String part : parts) {
				byte[] bytes = ((part != null) ? part : "").getBytes(StandardCharsets.UTF_8);
				// The length distinguishes ("ab", "c") from ("a", "bc").
				digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
				digest.update(bytes);
			}
			return digest.digest();
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is missing, which every Java platform must provide", ex);
		}
	}

}
