package org.medlardrum.entry.internal.admission;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;

import org.jctools.queues.MpscArrayQueue;
import org.medlardrum.coordination.internal.BackgroundThread;
import org.medlardrum.decisions.AdmissionLimits;
import org.medlardrum.decisions.AdmissionPolicy;
import org.medlardrum.decisions.Work;
import org.medlardrum.state.Rank;

/**
 * The thread {@code admission}, which owns the queues of all pools. Requests reach it
 * through a bounded ring; a full ring refuses.
 *
 * <pre>
 * try (Ticket ticket = admission.offer("engines", Rank.URGENT, "coop", 512, deadlineMs)) {
 *     AdmissionResult result = ticket.await();
 * }
 * </pre>
 */
public final class AdmissionController implements AutoCloseable {

	private static final long TICK_MS = 1000;

	/** Time after which a caller can try again when the ring is full. */
	private static final long RING_FULL_RETRY_MS = 1000;

	/** Bounds the time until queued requests whose timeout passed are answered. */
	private static final long QUEUED_WAIT_MS = 20;

	/** Offers wake the thread; an idle host should use little of a core. */
	private static final long IDLE_WAIT_MS = 250;

	private final InstantSource clock;

	private final MpscArrayQueue<Runnable> ring;

	private final Function<AdmissionLimits, AdmissionPolicy> policy;

	private final AtomicLong ids = new AtomicLong();

	private final Map<String, PoolQueue> pools = new HashMap<>();

	private final BackgroundThread thread = new BackgroundThread("admission", this::step);

	private long tickedAtMs;

	private volatile List<PoolStatus> status = List.of();

	/**
	 * Creates the queues. {@link #start} starts the thread.
	 * @param clock the clock
	 * @param ringSize messages that may wait for the thread
	 * @param policy creates the queue of a pool
	 */
	public AdmissionController(InstantSource clock, int ringSize, Function<AdmissionLimits, AdmissionPolicy> policy) {
		this.clock = clock;
		this.policy = policy;
		this.ring = new MpscArrayQueue<>(ringSize);
		this.tickedAtMs = clock.millis();
	}

	/**
	 * Starts the thread.
	 */
	public void start() {
		this.thread.start();
	}

	@Override
	public void close() {
		this.thread.close();
	}

	/**
	 * Offers a request. Does not block.
	 * @param pool name of the pool
	 * @param rank rank of the request
	 * @param organisation name of the organisation
	 * @param cost expected cost
	 * @param expiresAtMs clock reading at which the request's timeout passes
	 * @return the ticket, to be closed when the request ends
	 */
	public Ticket offer(String pool, Rank rank, String organisation, double cost, long expiresAtMs) {
		long nowMs = this.clock.millis();
		Ticket ticket = new Ticket(this, pool,
				new Work(this.ids.incrementAndGet(), rank, organisation, cost, nowMs, expiresAtMs));
		if (!this.ring.offer(() -> accept(ticket))) {
			ticket.complete(new AdmissionResult.Refused("admission ring is full", RING_FULL_RETRY_MS));
		}
		this.thread.wake();
		return ticket;
	}

	/**
	 * Replaces the limits of the pools. Pools that are not listed keep theirs.
	 * @param limits limits by pool
	 */
	public void update(Map<String, AdmissionLimits> limits) {
		tell(() -> limits.forEach((pool, limit) -> {
			PoolQueue queue = this.pools.get(pool);
			if (queue != null) {
				queue.update(limit);
			}
			else {
				this.pools.put(pool, new PoolQueue(this.policy.apply(limit)));
			}
		}));
	}

	/**
	 * Returns the state of the queues, at most about a second old.
	 * @return one entry for each pool
	 */
	public List<PoolStatus> status() {
		return this.status;
	}

	void release(Ticket ticket, double actualCost) {
		tell(() -> {
			PoolQueue queue = this.pools.get(ticket.pool());
			if (queue != null) {
				queue.release(ticket, actualCost, this.clock.millis());
			}
		});
	}

	// Releases and updates must not be lost.
	private void tell(Runnable message) {
		this.thread.enqueue(this.ring, message);
	}

	private void accept(Ticket ticket) {
		PoolQueue queue = this.pools.get(ticket.pool());
		if (queue == null) {
			ticket.complete(new AdmissionResult.NoServers());
			return;
		}
		queue.offer(ticket, this.clock.millis());
	}

	/**
	 * Handles waiting messages. Called by the thread, or by a test instead of it.
	 * @return time until the next step, in milliseconds
	 */
	long step() {
		this.ring.drain(Runnable::run);
		long nowMs = this.clock.millis();
		this.pools.values().forEach((queue) -> queue.startNext(nowMs));
		if (nowMs - this.tickedAtMs >= TICK_MS) {
			double elapsedS = (nowMs - this.tickedAtMs) / 1000.0;
			this.tickedAtMs = nowMs;
			List<PoolStatus> published = new ArrayList<>();
			this.pools.forEach((pool, queue) -> {
				queue.tick(elapsedS);
				published.add(queue.status(pool));
			});
			this.status = List.copyOf(published);
		}
		if (!this.ring.isEmpty()) {
			return 0;
		}
		return (this.pools.values().stream().anyMatch(PoolQueue::hasQueued)) ? QUEUED_WAIT_MS : IDLE_WAIT_MS;
	}

}
