package org.medlardrum.standins.internal.engine;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Faults of an engine that can be changed at any time. Thread-safe.
 */
public final class EngineFaults {

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition thawed = this.lock.newCondition();

	private final Map<String, Long> linkDelaysUs = new ConcurrentHashMap<>();

	private boolean frozen;

	private volatile double slowFactor = 1;

	private volatile boolean failFast;

	private volatile boolean leaving;

	private volatile String crashOnPrompt = "";

	/**
	 * Stops or resumes all processing; connections stay open.
	 * @param value {@code true} to stop
	 */
	public void frozen(boolean value) {
		this.lock.lock();
		try {
			this.frozen = value;
			this.thawed.signalAll();
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
				this.thawed.await();
			}
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Sets the factor by which each step takes longer.
	 * @param value the factor, 1 for normal speed
	 */
	public void slowFactor(double value) {
		this.slowFactor = value;
	}

	double slowFactor() {
		return this.slowFactor;
	}

	/**
	 * Makes every request fail immediately.
	 * @param value {@code true} to fail
	 */
	public void failFast(boolean value) {
		this.failFast = value;
	}

	boolean failFast() {
		return this.failFast;
	}

	/**
	 * Makes the engine refuse new sequences and finish the running ones.
	 * @param value {@code true} to refuse
	 */
	public void leaving(boolean value) {
		this.leaving = value;
	}

	boolean leaving() {
		return this.leaving;
	}

	/**
	 * Makes the engine crash after the first step of a prompt with the given text.
	 * @param text the text, empty for none
	 */
	public void crashOnPrompt(String text) {
		this.crashOnPrompt = text;
	}

	boolean crashesOn(String prompt) {
		return prompt != null && !this.crashOnPrompt.isEmpty() && prompt.contains(this.crashOnPrompt);
	}

	/**
	 * Sets the delay of the link to a successor.
	 * @param server id of the successor, {@code *} for all without an own delay
	 * @param delayUs the delay, in microseconds
	 */
	public void linkDelayUs(String server, long delayUs) {
		this.linkDelaysUs.put(server, delayUs);
	}

	long linkDelayUs(String server) {
		return this.linkDelaysUs.getOrDefault(server, this.linkDelaysUs.getOrDefault("*", 0L));
	}

}
