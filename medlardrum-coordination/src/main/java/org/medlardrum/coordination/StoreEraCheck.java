package org.medlardrum.coordination;

import java.util.OptionalLong;

import org.tinylog.Logger;

/**
 * Checks the eras in a store's responses. Eras never fall; a response of an earlier era
 * is late, or comes from a store that has not been restored. Once a store has numbered an
 * era, a response without one is not used either. Thread-safe.
 */
public final class StoreEraCheck {

	/** Highest era so far, negative before the first one. */
	private long highestEra = -1;

	private String lastRejected;

	/**
	 * Checks the era of a response.
	 * @param text the era as received, {@code null} if the response has none
	 * @return the era, 0 if the store numbers none, empty if the response must not be
	 * used
	 */
	public synchronized OptionalLong check(String text) {
		if (text == null && this.highestEra < 0) {
			return OptionalLong.of(0);
		}
		OptionalLong era = parse(text);
		if (era.isEmpty() || era.getAsLong() < this.highestEra) {
			logRejected(text);
			return OptionalLong.empty();
		}
		this.highestEra = era.getAsLong();
		this.lastRejected = null;
		return era;
	}

	/**
	 * Returns the highest era so far.
	 * @return the era, 0 before the first one
	 */
	public synchronized long highestEra() {
		return Math.max(0, this.highestEra);
	}

	private static OptionalLong parse(String text) {
		try {
			long era = (text != null) ? Long.parseLong(text.trim()) : -1;
			return (era >= 0) ? OptionalLong.of(era) : OptionalLong.empty();
		}
		catch (NumberFormatException ex) {
			return OptionalLong.empty();
		}
	}

	private void logRejected(String text) {
		String rejected = (text != null) ? '"' + text + '"' : "missing";
		if (!rejected.equals(this.lastRejected)) {
			this.lastRejected = rejected;
			Logger.warn("store: response not used, its era is {} after era {}", rejected, this.highestEra);
		}
	}

}
