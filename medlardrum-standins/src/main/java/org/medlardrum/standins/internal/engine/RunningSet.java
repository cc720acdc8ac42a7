package org.medlardrum.standins.internal.engine;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.servicetalk.concurrent.Cancellable;
import org.medlardrum.standins.internal.http.Exchange;

/**
 * Requests that run on an engine. Thread-safe.
 */
final class RunningSet {

	private final Set<Running> all = ConcurrentHashMap.newKeySet();

	// Runs an action that ends early when the request is cancelled or the client closes
	// its connection.
	void run(Exchange exchange, String request, int attempt, Action action) throws Exception {
		Running running = new Running(request, attempt);
		this.all.add(running);
		Cancellable subscription = exchange.onClose(running::cancel);
		try {
			action.run();
		}
		finally {
			running.finish();
			// A late cancellation must not interrupt what the thread does next.
			Thread.interrupted();
			subscription.cancel();
			this.all.remove(running);
		}
	}

	int cancel(String request, int attempt) {
		int cancelled = 0;
		for (Running running : this.all) {
			if (running.matches(request, attempt)) {
				running.cancel();
				cancelled++;
			}
		}
		return cancelled;
	}

	void cancelAll() {
		this.all.forEach(Running::cancel);
	}

	int size() {
		return this.all.size();
	}

	@FunctionalInterface
	interface Action {

		void run() throws Exception;

	}

}
