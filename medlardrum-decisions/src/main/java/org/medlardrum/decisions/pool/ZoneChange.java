package org.medlardrum.decisions.pool;

/**
 * Time since the last changes of the engines of an availability zone or a pool.
 *
 * @param sinceAddedMs time since an engine was added last
 * @param sinceFirstAddedMs time since the first of the engines was added that followed
 * one another by less than {@link LayerReview#ADDED_QUIET_MS}
 * @param sinceRemovedMs time since an engine was removed last, negative while one that
 * announced that it leaves may still return
 */
public record ZoneChange(long sinceAddedMs, long sinceFirstAddedMs, long sinceRemovedMs) {

	/** No change for a long time. */
	public static final ZoneChange NONE = new ZoneChange(Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE);

}
