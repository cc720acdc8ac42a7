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
 * Admits, queues or refuses requests. The thread {@code admission} owns the queues of all
 * pools and receives requests through a bounded ring buffer. Requests are refused while
 * the ring buffer is full.
 *
 * <pre>
 * try (Ticket ticket = admission.offer("engines", Rank.URGENT, "coop", 512, deadlineMs)) {
 *     AdmissionResult result = ticket.await();
 * }
 * </pre>
 */
public final class AdmissionController implements AutoCloseable {

	private static final long TICK_MS = 1000;

	/** Time after which a caller may retry when the ring buffer is full. */
	private static final long RING_FULL_RETRY_MS = 1000;

	/** Longest delay until a queued request whose timeout expired gets its response. */
	private static final long QUEUED_WAIT_MS = 20;

	/**
	 * Offers wake the thread, so an idle host can wait longer and use little processor
	 * time.
	 */
	private static final long IDLE_WAIT_MS = 250;

	private final InstantSource clock;

	private final MpscArrayQueue<Runnable> messages;

	private final Function<AdmissionLimits, AdmissionPolicy> policy;

	private final AtomicLong ids = new AtomicLong();

	private final Map<String, PoolQueue> pools = new HashMap<>();

	private final BackgroundThread thread = new BackgroundThread("admission", this::step);

	private long lastTickMs;

	private volatile List<PoolStatus> status = List.of();

	/**
	 * Creates the queues. {@link #start} starts the thread that processes them.
	 * @param clock the clock
	 * @param ringSize capacity of the ring buffer, in messages
	 * @param policy creates the admission policy of a pool
	 */
	public AdmissionController(InstantSource clock, int ringSize, Function<AdmissionLimits, AdmissionPolicy> policy) {
		this.clock = clock;
		this.policy = policy;
		this.messages = new MpscArrayQueue<>(ringSize);
		this.lastTickMs = clock.millis();
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
	 * @param cost expected cost: tokens × layers for models, 1 for a plain-service call
	 * @param expiresAtMs time at which the request's timeout expires, in milliseconds
	 * since the epoch
	 * @return the ticket, to be closed when the request ends
	 */
	public Ticket offer(String pool, Rank rank, String organisation, double cost, long expiresAtMs) {
		long nowMs = this.clock.millis();
		Ticket ticket = new Ticket(this, pool,
				new Work(this.ids.incrementAndGet(), rank, organisation, cost, nowMs, expiresAtMs));
		if (!this.messages.offer(() -> accept(ticket))) {
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
		send(() -> limits.forEach((pool, limit) -> {
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
		send(() -> {
			PoolQueue queue = this.pools.get(ticket.pool());
			if (queue != null) {
				queue.release(ticket, actualCost, this.clock.millis());
			}
		});
	}

	// Waits while the ring buffer is full, because releases and updates must not be lost.
	private void send(Runnable message) {
		this.thread.enqueue(this.messages, message);
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
	 * Processes the messages, starts and expires queued requests and publishes the state
	 * of the queues. Called by the thread, or by a test instead of it.
	 * @return time until the next step, in milliseconds
	 */
	long step() {
		this.messages.drain(Runnable::run);
		long nowMs = this.clock.millis();
		this.pools.values().forEach((queue) -> queue.startAndExpire(nowMs));
		if (nowMs - this.lastTickMs >= TICK_MS) {
			double elapsedS = (nowMs - this.lastTickMs) / 1000.0;
			this.lastTickMs = nowMs;
			List<PoolStatus> published = new ArrayList<>();
			this.pools.forEach((pool, queue) -> {
				queue.updateDemand(elapsedS);
				published.add(queue.status(pool));
			});
			this.status = List.copyOf(published);
		}
		if (!this.messages.isEmpty()) {
			return 0;
		}
		return (this.pools.values().stream().anyMatch(PoolQueue::hasQueued)) ? QUEUED_WAIT_MS : IDLE_WAIT_MS;
	}

}
