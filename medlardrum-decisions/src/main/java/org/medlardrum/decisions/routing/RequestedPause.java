package org.medlardrum.decisions.routing;

/**
 * What a server that refuses a request says about when it accepts requests of this host
 * again.
 */
public sealed interface RequestedPause {

	/**
	 * Longest pause that is observed. A server that asks for more is asked again after
	 * it.
	 */
	long MAX_PAUSE_MS = 60_000;

	/** The server asks for no pause. */
	RequestedPause NONE = new None();

	/**
	 * Parses a number of seconds, which may have fractions.
	 * @param text the text
	 * @return the pause, {@link Unreadable} for anything but a finite or infinite number
	 * of 0 or more
	 */
	static RequestedPause parseSeconds(String text) {
		double seconds;
		try {
			seconds = Double.parseDouble(text.trim());
		}
		catch (NumberFormatException ex) {
			return new Unreadable(text);
		}
		if (!(seconds >= 0)) {
			return new Unreadable(text);
		}
		double durationMs = Math.ceil(seconds * 1_000);
		if (durationMs > MAX_PAUSE_MS) {
			return new Shortened(text, MAX_PAUSE_MS);
		}
		return (durationMs > 0) ? new Pause((long) durationMs) : NONE;
	}

	/**
	 * Returns the length of the pause.
	 * @return the time in milliseconds, 0 for none
	 */
	default long durationMs() {
		return switch (this) {
			case None none -> 0;
			case Pause pause -> pause.lengthMs;
			case Shortened shortened -> shortened.lengthMs;
			case Unreadable unreadable -> 0;
		};
	}

	/** The server asks for no pause. */
	record None() implements RequestedPause {
	}

	/**
	 * The server wants no requests for a time.
	 *
	 * @param lengthMs the time in milliseconds
	 */
	record Pause(long lengthMs) implements RequestedPause {
	}

	/**
	 * The server asks for more than {@link #MAX_PAUSE_MS}.
	 *
	 * @param text text as received
	 * @param lengthMs the time that is observed, in milliseconds
	 */
	record Shortened(String text, long lengthMs) implements RequestedPause {
	}

	/**
	 * The text is not a time.
	 *
	 * @param text text as received
	 */
	record Unreadable(String text) implements RequestedPause {
	}

}
