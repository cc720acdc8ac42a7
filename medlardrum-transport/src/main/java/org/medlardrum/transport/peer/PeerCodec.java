package org.medlardrum.transport.peer;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;

import org.apache.thrift.TBase;
import org.apache.thrift.TConfiguration;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.medlardrum.peer.gen.ClaimOutcome;
import org.medlardrum.peer.gen.ClaimRequest;
import org.medlardrum.peer.gen.PeerRequest;

/**
 * Encodes messages in Thrift's compact protocol and frames them. A frame is a 4-byte
 * big-endian length followed by that many bytes, as in Thrift's framed transport. The
 * length is checked before memory is allocated, and the decoder rejects strings and lists
 * that are longer than their frame.
 */
final class PeerCodec {

	private static final int MAX_ELEMENTS = 100_000;

	private static final int MAX_DEPTH = 16;

	/** Longest wait for the next bytes of a frame that has begun. */
	private static final int READ_TIMEOUT_MS = 5_000;

	private PeerCodec() {
	}

	static byte[] encode(TBase<?, ?> message) throws TException {
		return new TSerializer(new TCompactProtocol.Factory()).serialize(message);
	}

	/**
	 * Decodes a message that fills the given bytes. Trailing bytes are rejected, because
	 * random input often starts like a short message.
	 * @param message receives the content
	 * @param bytes the bytes
	 * @param offset position of the first one
	 * @param length number of bytes
	 * @throws TException if the bytes are not exactly one message
	 */
	static void decode(TBase<?, ?> message, byte[] bytes, int offset, int length) throws TException {
		TConfiguration limits = new TConfiguration(length, PeerOptions.MAX_FRAME_BYTES, MAX_DEPTH);
		TMemoryInputTransport input = new TMemoryInputTransport(limits, bytes, offset, length);
		message.read(new TCompactProtocol(input, PeerOptions.MAX_FRAME_BYTES, MAX_ELEMENTS));
		if (input.getBytesRemainingInBuffer() != 0) {
			throw new TException(input.getBytesRemainingInBuffer() + " bytes follow the message");
		}
	}

	/**
	 * Returns whether a request has the fields that its type requires.
	 * @param request the request
	 * @return whether it can be processed
	 */
	static boolean isComplete(PeerRequest request) {
		if (request.isSetClaim()) {
			ClaimRequest claim = request.getClaim();
			return claim.isSetOrganisation() && claim.isSetRoute() && claim.isSetIdempotencyKey()
					&& claim.isSetRequestDigest() && claim.isSetHostId() && claim.isSetAttemptId();
		}
		if (request.isSetRecordOutcome()) {
			ClaimOutcome outcome = request.getRecordOutcome();
			return outcome.isSetOrganisation() && outcome.isSetRoute() && outcome.isSetIdempotencyKey()
					&& outcome.isSetAttemptId();
		}
		return request.isSetPullConfigAfterVersion() || request.isSetPullHostsAfterRevision();
	}

	/**
	 * Reads one frame. The caller sets the socket timeout for its first byte.
	 * @param socket the connection
	 * @param in input of the connection
	 * @return the content, {@code null} when the connection ended before a frame began
	 * @throws MalformedFrameException if the length is not allowed
	 * @throws IOException if the connection fails or ends within the frame
	 */
	static byte[] readFrame(Socket socket, DataInputStream in) throws IOException {
		int first = in.read();
		if (first < 0) {
			return null;
		}
		socket.setSoTimeout(READ_TIMEOUT_MS);
		int length = first << 24 | in.readUnsignedByte() << 16 | in.readUnsignedShort();
		if (length <= 0 || length > PeerOptions.MAX_FRAME_BYTES) {
			throw new MalformedFrameException("frame length " + length + " is not between 1 and 1048576 bytes");
		}
		byte[] content = in.readNBytes(length);
		if (content.length < length) {
			throw new EOFException("connection ended after " + content.length + " of " + length + " bytes");
		}
		return content;
	}

	static void writeFrame(DataOutputStream out, byte[] content) throws IOException {
		out.writeInt(content.length);
		out.write(content);
		out.flush();
	}

}
