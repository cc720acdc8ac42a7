package org.medlardrum.gateway;

import java.util.ArrayList;
import java.util.List;

import org.medlardrum.gateway.internal.log.DecisionLog;

/**
 * Runs the steps of a shutdown, each of them even if an earlier one fails, and measures
 * them.
 */
final class ShutdownSteps {

	private static final String PART = "process";

	private final GatewayClock clock;

	private final DecisionLog log;

	private final long startMs;

	private final List<Object> times = new ArrayList<>();

	ShutdownSteps(GatewayClock clock, DecisionLog log) {
		this.clock = clock;
		this.log = log;
		this.startMs = clock.monotonicMs();
	}

	/**
	 * Runs a step.
	 * @param name name of its time in the log
	 * @param step the step
	 */
	void run(String name, Runnable step) {
		long stepStartMs = this.clock.monotonicMs();
		try {
			step.run();
		}
		catch (RuntimeException ex) {
			this.log.event(PART, "stop-failed", "step", name, "error", ex);
		}
		this.times.add(name);
		this.times.add(this.clock.monotonicMs() - stepStartMs);
	}

	/**
	 * Logs the times of all steps in one line.
	 */
	void logStopped() {
		this.times.add("tookMs");
		this.times.add(this.clock.monotonicMs() - this.startMs);
		this.log.event(PART, "stopped", this.times.toArray());
	}

}
