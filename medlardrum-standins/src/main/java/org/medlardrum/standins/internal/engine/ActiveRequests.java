package org.medlardrum.standins.internal.engine;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.servicetalk.concurrent.Cancellable;
import org.medlardrum.standins.internal.http.Exchange;

/**
 * Requests in progress on an engine. Thread-safe.
 */
final class ActiveRequests {

	private final Set<ActiveRequest> requests = ConcurrentHashMap.newKeySet();

	// Runs an action whose thread is interrupted when the request is cancelled or the
	// client closes its connection.
	void run(Exchange exchange, String request, int attempt, Action action) throws Exception {
		ActiveRequest active = new ActiveRequest(request, attempt);
		this.requests.add(active);
		Cancellable subscription = exchange.onClose(active::cancel);
		try {
			action.run();
		}
		finally {
			active.finish();
			// Clears the interrupt of a late cancellation, which would otherwise
			// affect the next task of the thread.
			Thread.interrupted();
			subscription.cancel();
			this.requests.remove(active);
		}
	}

	int cancel(String request, int attempt) {
		int cancelled = 0;
		for (ActiveRequest active : this.requests) {
			if (active.matches(request, attempt)) {
				active.cancel();
				cancelled++;
			}
		}
		return cancelled;
	}

	void cancelAll() {
		this.requests.forEach(ActiveRequest::cancel);
	}

	int size() {
		return this.requests.size();
	}

	@FunctionalInterface
	interface Action {

		void run() throws Exception;

	}

}
