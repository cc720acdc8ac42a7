package org.medlardrum.gateway.internal.quarantine;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import org.medlardrum.gateway.internal.request.GatewayRequest;

/**
 * Fingerprint of a request that is the same when its caller sends it again.
 */
final class RequestFingerprint {

	/**
	 * Length of a fingerprint; 64 bits suffice for the few requests that are suspects.
	 */
	private static final int LENGTH_BYTES = 8;

	private RequestFingerprint() {
	}

	/**
	 * Returns the fingerprint of a request: a hash of organisation, method, target and
	 * body.
	 * @param request the request
	 * @return the fingerprint in hexadecimal
	 */
	static String of(GatewayRequest request) {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			update(digest, request.organisation().orElse(""));
			update(digest, request.method());
			update(digest, request.target());
			digest.update(request.body());
			return HexFormat.of().formatHex(digest.digest(), 0, LENGTH_BYTES);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("Every Java runtime has SHA-256", ex);
		}
	}

	private static void update(MessageDigest digest, String part) {
		digest.update(part.getBytes(StandardCharsets.UTF_8));
		digest.update((byte) 0);
	}

}
