package org.medlardrum.standins.internal.engine;

import java.util.ArrayDeque;
import java.util.Deque;

import org.medlardrum.standins.EngineSettings;
import org.medlardrum.state.EngineReport;

/**
 * Reports the load of an engine, delayed by {@link EngineSettings#loadLagMs()}.
 * Thread-safe.
 */
public final class LoadReporter implements AutoCloseable {

	/** Lower limit of the sample period, for short lags. */
	private static final long MIN_SAMPLE_PERIOD_MS = 20;

	/** Sample periods per lag. A report can be one sample period older than the lag. */
	private static final int SAMPLES_PER_LAG = 4;

	private final EngineCore core;

	private final Deque<EngineReport> samples = new ArrayDeque<>();

	private final Thread sampler;

	/**
	 * Creates a reporter, and samples the load in the background if reports have a lag.
	 * @param core shared state of the engine
	 */
	public LoadReporter(EngineCore core) {
		this.core = core;
		this.sampler = (core.settings().loadLagMs() > 0) ? Thread.ofVirtual().start(this::sampleUntilInterrupted)
				: null;
	}

	/**
	 * Returns the report of the load.
	 * @return the most recent sample that is at least as old as the lag, or the oldest
	 * sample if none is; the current load if reports have no lag
	 */
	public EngineReport report() {
		if (this.sampler == null) {
			return currentReport();
		}
		long asOfMs = System.currentTimeMillis() - this.core.settings().loadLagMs();
		synchronized (this.samples) {
			// Keeps the most recent sample that is at least as old as the lag.
			while (this.samples.size() > 1 && secondSample().reportedAtMs() <= asOfMs) {
				this.samples.removeFirst();
			}
			return (!this.samples.isEmpty()) ? this.samples.getFirst() : currentReport();
		}
	}

	@Override
	public void close() {
		if (this.sampler != null) {
			this.sampler.interrupt();
		}
	}

	private EngineReport secondSample() {
		var iterator = this.samples.iterator();
		iterator.next();
		return iterator.next();
	}

	private void sampleUntilInterrupted() {
		long periodMs = Math.max(MIN_SAMPLE_PERIOD_MS, this.core.settings().loadLagMs() / SAMPLES_PER_LAG);
		try {
			while (true) {
				synchronized (this.samples) {
					this.samples.addLast(currentReport());
				}
				// Removes outdated samples also while no report is requested; the result
				// is not used.
				report();
				Thread.sleep(periodMs);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private EngineReport currentReport() {
		EngineSettings settings = this.core.settings();
		EngineState state = this.core.state();
		StepScheduler scheduler = this.core.scheduler();
		long layerTimeUs = (long) (settings.layerTimeUs() * this.core.faults().slowFactor());
		return new EngineReport(settings.id(), state.bootId(), state.model(), state.version(), state.adapters(),
				state.role(), settings.fromLayer(), settings.toLayer(), settings.slots(), scheduler.running(),
				scheduler.queued(), layerTimeUs, this.core.faults().leaving(), settings.fencing(),
				System.currentTimeMillis());
	}

}
