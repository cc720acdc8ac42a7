package org.medlardrum.entry.internal.http;

import java.io.IOException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;

/**
 * Runs work that an interrupt of the request's thread must not end.
 */
final class UninterruptibleTask {

	private UninterruptibleTask() {
	}

	static void run(Action work) throws IOException {
		FutureTask<Void> task = new FutureTask<>(() -> {
			work.run();
			return null;
		});
		Thread.ofVirtual().name("detached").start(task);
		boolean interrupted = false;
		while (true) {
			try {
				task.get();
				break;
			}
			catch (InterruptedException ex) {
				interrupted = true;
			}
			catch (ExecutionException ex) {
				if (ex.getCause() instanceof IOException cause) {
					throw cause;
				}
				throw new IllegalStateException("Request failed", ex.getCause());
			}
		}
		if (interrupted) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Work that may fail because the caller has gone.
	 */
	@FunctionalInterface
	interface Action {

		void run() throws IOException;

	}

}
