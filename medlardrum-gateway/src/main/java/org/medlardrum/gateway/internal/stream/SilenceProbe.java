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
import org.medlardrum.gateway.internal.request.RequestServices;

/**
 * Asks the first engine of a silent stream which server the stream waits for. An engine
 * that does not answer in time is at fault itself.
 */
final class SilenceProbe {

	/** Longest wait for an engine's report, many times its usual millisecond. */
	static final long TIMEOUT_MS = 250;

	private static final int OK = 200;

	private final RequestServices services;

	private final Consumer<Signal> sink;

	SilenceProbe(RequestServices services, Consumer<Signal> sink) {
		this.services = services;
		this.sink = sink;
	}

	void ask(BackendCall silent, String requestId) {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		AtomicBoolean answered = new AtomicBoolean();
		int[] status = new int[1];
		BackendCall call = BackendCall.send(this.services.clients(), new BackendRequest(silent.address(), "GET",
				this.services.dialect().reportPath(), List.of(), new byte[0]), (signal) -> {
					switch (signal) {
						case Signal.Header header -> status[0] = header.status();
						case Signal.Data data -> body.writeBytes(data.bytes());
						case Signal.End end -> {
							if (answered.compareAndSet(false, true)) {
								report(silent, requestId, status[0], body.toByteArray());
							}
						}
						case Signal.Failed failed -> {
							if (answered.compareAndSet(false, true)) {
								this.sink.accept(new Signal.Diagnosis(silent, silent.address()));
							}
						}
						case Signal.CallerLeft left -> {
						}
						case Signal.Diagnosis diagnosis -> {
						}
					}
				});
		this.services.executor().schedule(() -> {
			if (answered.compareAndSet(false, true)) {
				call.close();
				this.sink.accept(new Signal.Diagnosis(silent, silent.address()));
			}
		}, TIMEOUT_MS, TimeUnit.MILLISECONDS);
	}

	private void report(BackendCall silent, String requestId, int status, byte[] body) {
		Optional<EngineStatus> report = (status == OK) ? this.services.dialect().parseStatus(body) : Optional.empty();
		String faulty = report.map((known) -> known.awaitedServers().getOrDefault(requestId, "")).orElse("");
		this.sink.accept(new Signal.Diagnosis(silent, faulty));
	}

}
