package org.medlardrum.transport.internal;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.servicetalk.concurrent.api.AsyncCloseable;

/**
 * Closes ServiceTalk servers.
 */
public final class ServerShutdown {

	private ServerShutdown() {
	}

	/**
	 * Closes a server gracefully, or immediately if that takes too long, fails or is
	 * interrupted. The method does not wait for an immediate close.
	 * @param server the server
	 * @param timeoutMs longest wait for the graceful shutdown, in milliseconds
	 */
	public static void closeGracefully(AsyncCloseable server, long timeoutMs) {
		try {
			server.closeAsyncGracefully().toFuture().get(timeoutMs, TimeUnit.MILLISECONDS);
		}
		catch (ExecutionException | TimeoutException ex) {
			server.closeAsync().subscribe();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			server.closeAsync().subscribe();
		}
	}

}
