package org.medlardrum.standins.internal.engine;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Faults injected into an engine, which can be changed at any time. Thread-safe.
 */
public final class EngineFaults {

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition unfrozen = this.lock.newCondition();

	private final Map<String, Long> linkDelaysUs = new ConcurrentHashMap<>();

	private boolean frozen;

	private volatile double slowFactor = 1;

	private volatile boolean failFast;

	private volatile boolean leaving;

	private volatile String crashOnPrompt = "";

	/**
	 * Freezes or resumes all processing; connections stay open.
	 * @param value {@code true} to freeze
	 */
	public void frozen(boolean value) {
		this.lock.lock();
		try {
			this.frozen = value;
			this.unfrozen.signalAll();
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Waits while the engine is frozen.
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void awaitUnfrozen() throws InterruptedException {
		this.lock.lock();
		try {
			while (this.frozen) {
				this.unfrozen.await();
			}
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Sets the factor by which the duration of each step is multiplied.
	 * @param value the factor, 1 for normal speed
	 */
	public void slowFactor(double value) {
		this.slowFactor = value;
	}

	double slowFactor() {
		return this.slowFactor;
	}

	/**
	 * Sets whether every request fails immediately.
	 * @param value {@code true} to fail requests
	 */
	public void failFast(boolean value) {
		this.failFast = value;
	}

	boolean failFast() {
		return this.failFast;
	}

	/**
	 * Sets whether the engine shuts down gracefully: it refuses new sequences and
	 * finishes the active ones.
	 * @param value {@code true} to refuse new sequences
	 */
	public void leaving(boolean value) {
		this.leaving = value;
	}

	boolean leaving() {
		return this.leaving;
	}

	/**
	 * Makes the engine crash after the first step of a prompt that contains the given
	 * text.
	 * @param text the text, empty to disable the fault
	 */
	public void crashOnPrompt(String text) {
		this.crashOnPrompt = text;
	}

	boolean crashesOn(String prompt) {
		return prompt != null && !this.crashOnPrompt.isEmpty() && prompt.contains(this.crashOnPrompt);
	}

	/**
	 * Sets the delay of the link to the next stage of a chain.
	 * @param server id of the next engine, {@code *} for all engines without a delay of
	 * their own
	 * @param delayUs the delay, in microseconds
	 */
	public void linkDelayUs(String server, long delayUs) {
		this.linkDelaysUs.put(server, delayUs);
	}

	long linkDelayUs(String server) {
		return this.linkDelaysUs.getOrDefault(server, this.linkDelaysUs.getOrDefault("*", 0L));
	}

}
