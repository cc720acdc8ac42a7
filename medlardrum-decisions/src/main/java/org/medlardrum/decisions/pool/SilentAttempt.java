package org.medlardrum.decisions.pool;

import java.util.Optional;

import org.medlardrum.decisions.routing.SendDenial;

/**
 * State of an attempt of a stream that has been silent for an unusually long time.
 *
 * @param gapMs time since the last event or the start, in milliseconds
 * @param begun whether the attempt has sent an event
 * @param withoutReport whether no engine reports what the attempt waits for, since it
 * runs at a plain service or through another host
 * @param usualGapMs length of a gap up to which an attempt without report is not
 * considered silent, 0 if each gap counts
 * @param faultKnown whether a server is known that the attempt waits for
 * @param awaitsOther whether another attempt of the stream sends events or has not been
 * silent for as long yet
 * @param denial reason for which the request must not be sent again, empty if it may
 */
public record SilentAttempt(long gapMs, boolean begun, boolean withoutReport, long usualGapMs, boolean faultKnown,
		boolean awaitsOther, Optional<SendDenial> denial) {
}
