package org.medlardrum.gateway.internal.stream;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import org.medlardrum.gateway.EngineStatus;
import org.medlardrum.gateway.internal.call.BackendCall;
import org.medlardrum.gateway.internal.call.BackendRequest;
import org.medlardrum.gateway.internal.call.Signal;
import org.medlardrum.gateway.internal.request.HeaderList;
import org.medlardrum.gateway.internal.request.RequestDependencies;

/**
 * Requests the report of a stalled stream's first engine to find the server that the
 * stream waits for. An engine that does not respond in time is itself considered the
 * cause.
 */
final class StallProbe {

	/** Longest wait for an engine's report, which usually takes 1 ms. */
	static final long TIMEOUT_MS = 250;

	/** Limit of extensions of the timeout on a host that is late. */
	private static final int MAX_EXTENSIONS = 3;

	private static final int OK = 200;

	private final RequestDependencies dependencies;

	private final Consumer<Signal> sink;

	StallProbe(RequestDependencies dependencies, Consumer<Signal> sink) {
		this.dependencies = dependencies;
		this.sink = sink;
	}

	void probe(BackendCall stalledCall, String requestId) {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		AtomicBoolean diagnosed = new AtomicBoolean();
		int[] status = new int[1];
		BackendCall call = BackendCall.send(this.dependencies.clients(),
				new BackendRequest(stalledCall.address(), "GET", this.dependencies.dialect().reportPath(), () -> false,
						() -> Optional.of(List.of()), new byte[0]),
				(signal) -> {
					switch (signal) {
						case Signal.Header header -> {
							status[0] = header.status();
							this.dependencies.permits()
								.recordNotice(stalledCall.address(), this.dependencies.dialect()
									.serverNotice(header.status(), HeaderList.lookup(header.headers())));
						}
						case Signal.Data data -> body.writeBytes(data.bytes());
						case Signal.End end -> {
							if (diagnosed.compareAndSet(false, true)) {
								deliverDiagnosis(stalledCall, requestId, status[0], body.toByteArray());
							}
						}
						case Signal.Failed failed -> {
							if (diagnosed.compareAndSet(false, true)) {
								this.sink.accept(new Signal.StallDiagnosis(stalledCall, stalledCall.address()));
							}
						}
						case Signal.Writing writing -> {
						}
						case Signal.Withheld withheld -> {
						}
						case Signal.CallerDisconnected disconnected -> {
						}
						case Signal.StallDiagnosis diagnosis -> {
						}
					}
				});
		scheduleTimeout(MAX_EXTENSIONS, this.dependencies.nowMs() + TIMEOUT_MS, () -> {
			if (diagnosed.compareAndSet(false, true)) {
				call.close();
				this.sink.accept(new Signal.StallDiagnosis(stalledCall, stalledCall.address()));
			}
		});
	}

	// A timeout that fires late is extended, since the response may have arrived unread.
	private void scheduleTimeout(int extensions, long dueAtMs, Runnable action) {
		this.dependencies.executor().schedule(() -> {
			long nowMs = this.dependencies.nowMs();
			if (nowMs < dueAtMs) {
				scheduleTimeout(extensions, dueAtMs, action);
				return;
			}
			this.dependencies.timerLateness().record(dueAtMs, nowMs);
			if (extensions > 0 && this.dependencies.timerLateness().isLate()) {
				scheduleTimeout(extensions - 1, nowMs + TIMEOUT_MS, action);
				return;
			}
			action.run();
		}, Math.max(1, dueAtMs - this.dependencies.nowMs()), TimeUnit.MILLISECONDS);
	}

	private void deliverDiagnosis(BackendCall stalledCall, String requestId, int status, byte[] body) {
		Optional<EngineStatus> report = (status == OK) ? this.dependencies.dialect().parseStatus(body)
				: Optional.empty();
		String faultyAddress = report.map((engine) -> engine.awaitedServers().getOrDefault(requestId, "")).orElse("");
		this.sink.accept(new Signal.StallDiagnosis(stalledCall, faultyAddress));
	}

}
