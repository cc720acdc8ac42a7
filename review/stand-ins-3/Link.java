import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The link of one host to a server: a proxy that passes bytes on. While it is cut,
 * connections are refused.
 */
final class Link {

	private final String target;

	private final int port;

	private ServerSocket server;

	private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

	Link(String target) throws IOException {
		this.target = target;
		this.server = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
		this.port = this.server.getLocalPort();
		accept(this.server);
	}

	String address() {
		return "127.0.0.1:" + this.port;
	}

	void restore() throws IOException {
		this.server = new ServerSocket();
		this.server.setReuseAddress(true);
		this.server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), this.port), 128);
		accept(this.server);
	}

	void cut() throws IOException {
		this.server.close();
		this.connections.forEach(Http::reset);
	}

	private void accept(ServerSocket listening) {
		Thread.ofPlatform().daemon().start(() -> {
			while (true) {
				try {
					Socket caller = listening.accept();
					Thread.ofVirtual().start(() -> connect(caller));
				}
				catch (IOException ex) {
					return;
				}
			}
		});
	}

	private void connect(Socket caller) {
		Socket callee = new Socket();
		try {
			int colon = this.target.indexOf(':');
			callee.connect(new InetSocketAddress(this.target.substring(0, colon),
					Integer.parseInt(this.target.substring(colon + 1))), 500);
		}
		catch (IOException ex) {
			Http.reset(caller);
			return;
		}
		this.connections.add(caller);
		this.connections.add(callee);
		Thread.ofVirtual().start(() -> copy(caller, callee));
		copy(callee, caller);
	}

	private void copy(Socket from, Socket to) {
		try {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			byte[] buffer = new byte[16_384];
			for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
				out.write(buffer, 0, length);
				out.flush();
			}
			to.shutdownOutput();
		}
		catch (IOException ex) {
			Http.reset(from);
			Http.reset(to);
		}
		finally {
			this.connections.remove(from);
		}
	}

}
