package org.medlardrum.transport.internal;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.servicetalk.concurrent.api.AsyncCloseable;

/**
 * Closes servers of the library.
 */
public final class ServerShutdown {

	private ServerShutdown() {
	}

	/**
	 * Closes gracefully, and at once when that takes too long or fails.
	 * @param server the server
	 * @param timeoutMs longest wait for the graceful end, in milliseconds
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
