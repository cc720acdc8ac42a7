package org.medlardrum.entry.internal.http;

import java.io.IOException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;

/**
 * Runs an action on a thread of its own, so that an interrupt of the request's thread
 * does not stop it. The interrupt status is restored after the action ends.
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
				throw new IllegalStateException("Request failed with an unexpected exception", ex.getCause());
			}
		}
		if (interrupted) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Action that may fail because the caller disconnected.
	 */
	@FunctionalInterface
	interface Action {

		void run() throws IOException;

	}

}
