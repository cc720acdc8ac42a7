package org.medlardrum.standins.internal.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Log of the layer ranges that an engine executed, kept across its simulated restarts.
 * Thread-safe.
 */
public final class Ledger {

	/** Limits memory use, at about 100 bytes an entry; the oldest entries are dropped. */
	private static final int MAX_ENTRIES = 100_000;

	private final Deque<LedgerEntry> entries = new ArrayDeque<>();

	synchronized void add(LedgerEntry entry) {
		if (this.entries.size() >= MAX_ENTRIES) {
			this.entries.removeFirst();
		}
		this.entries.addLast(entry);
	}

	/**
	 * Returns the entries in the order of execution.
	 * @param request identifier of the request, empty for all
	 * @return the entries
	 */
	public synchronized List<LedgerEntry> entries(String request) {
		return this.entries.stream().filter((entry) -> request.isEmpty() || entry.request().equals(request)).toList();
	}

}
