package org.medlardrum.transport.peer;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;

import org.apache.thrift.TBase;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;

/**
 * Thrift compact encoding and framing. A frame is a 4-byte big-endian length and that
 * many bytes, the layout of Thrift's framed transport. The length is checked before
 * anything is allocated, and the decoder refuses strings and lists that are longer than
 * their frame.
 */
final class PeerCodec {

	private static final int MAX_ELEMENTS = 100_000;

	private PeerCodec() {
	}

	static byte[] encode(TBase<?, ?> message) throws TException {
		return new TSerializer(new TCompactProtocol.Factory()).serialize(message);
	}

	static void decode(TBase<?, ?> message, byte[] bytes, int offset, int length) throws TException {
		new TDeserializer(new TCompactProtocol.Factory(PeerOptions.MAX_FRAME_BYTES, MAX_ELEMENTS)).deserialize(message,
				bytes, offset, length);
	}

	/**
	 * Reads one frame.
	 * @param in the connection
	 * @return the content, {@code null} when the connection ended before a frame began
	 * @throws MalformedFrameException if the length is not allowed
	 * @throws IOException if the connection fails or ends within the frame
	 */
	static byte[] readFrame(DataInputStream in) throws IOException {
		int first = in.read();
		if (first < 0) {
			return null;
		}
		int length = first << 24 | in.readUnsignedByte() << 16 | in.readUnsignedShort();
		if (length <= 0 || length > PeerOptions.MAX_FRAME_BYTES) {
			throw new MalformedFrameException("frame length " + length + " is not between 1 and 1048576");
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
