package org.medlardrum.coordination.claims;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counters that the buckets of one ledger share. See {@link ClaimStats} for their
 * meaning.
 */
final class ClaimCounters {

	final LongAdder claims = new LongAdder();

	final LongAdder granted = new LongAdder();

	final LongAdder forwarded = new LongAdder();

	final LongAdder writes = new LongAdder();

	final LongAdder conflicts = new LongAdder();

	final LongAdder lostAnswers = new LongAdder();

	final LongAdder droppedOutcomes = new LongAdder();

}
