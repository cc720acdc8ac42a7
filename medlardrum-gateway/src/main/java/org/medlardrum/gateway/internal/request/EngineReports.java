package org.medlardrum.gateway.internal.request;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.servicetalk.transport.api.IoExecutor;
import org.medlardrum.gateway.EngineStatus;
import org.medlardrum.gateway.RequestDialect;
import org.medlardrum.gateway.internal.call.BackendCall;
import org.medlardrum.gateway.internal.call.BackendRequest;
import org.medlardrum.gateway.internal.call.Signal;
import org.medlardrum.gateway.internal.state.GatewayState;
import org.medlardrum.gateway.internal.state.ServerPermits;
import org.medlardrum.transport.internal.HttpClientPool;

/**
 * Asks engines for their status reports. All streams of an engine that fall silent at the
 * same moment share one call: a report names the servers that all its requests wait for,
 * and hundreds of calls would delay a small host. Confined to the event loop.
 */
public final class EngineReports {

	/** Longest wait for an engine's report, which usually takes 1 ms. */
	static final long TIMEOUT_MS = 250;

	/**
	 * Age up to which a report answers further questions, below the delay with which
	 * engines report.
	 */
	static final long MAX_AGE_MS = 100;

	/** Size limit of a report; an engine's usual one has about 100 bytes a request. */
	private static final int MAX_REPORT_BYTES = 256 * 1024;

	/** Limit of extensions of the timeout on a host that is late. */
	private static final int MAX_EXTENSIONS = 3;

	private static final int OK = 200;

	private final GatewayState state;

	private final HttpClientPool clients;

	private final IoExecutor executor;

	private final RequestDialect dialect;

	private final ServerPermits permits;

	private final TimerLateness timerLateness;

	private final Map<String, Question> questions = new HashMap<>();

	/**
	 * Creates an object without open questions.
	 * @param state supplies the clock
	 * @param clients clients by address
	 * @param executor the event loop
	 * @param dialect format of the reports
	 * @param permits receives what engines say about themselves
	 * @param timerLateness lateness of the host
	 */
	public EngineReports(GatewayState state, HttpClientPool clients, IoExecutor executor, RequestDialect dialect,
			ServerPermits permits, TimerLateness timerLateness) {
		this.state = state;
		this.clients = clients;
		this.executor = executor;
		this.dialect = dialect;
		this.permits = permits;
		this.timerLateness = timerLateness;
	}

	/**
	 * Asks an engine, unless its last report is recent.
	 * @param address {@code ip:port} of the engine
	 * @param listener receives the outcome once, on the event loop
	 */
	public void ask(String address, Consumer<Outcome> listener) {
		long nowMs = nowMs();
		Question known = this.questions.get(address);
		if (known != null && (known.outcome == null || nowMs - known.answeredAtMs <= MAX_AGE_MS)) {
			known.add(listener);
			return;
		}
		this.questions.values()
			.removeIf((question) -> question.outcome != null && nowMs - question.answeredAtMs > MAX_AGE_MS);
		Question question = new Question(address);
		this.questions.put(address, question);
		question.add(listener);
		question.send();
	}

	private long nowMs() {
		return this.state.clock().monotonicMs();
	}

	/** Outcome of a question. */
	public sealed interface Outcome {

	}

	/**
	 * The engine has answered.
	 *
	 * @param status the report, empty if it cannot be read
	 */
	public record Reported(Optional<EngineStatus> status) implements Outcome {
	}

	/** The engine did not answer in time. */
	public record Unreachable() implements Outcome {
	}

	private final class Question {

		private final String address;

		private final List<Consumer<Outcome>> listeners = new ArrayList<>();

		private final ByteArrayOutputStream body = new ByteArrayOutputStream();

		private BackendCall call;

		private int status;

		private Outcome outcome;

		private long answeredAtMs;

		Question(String address) {
			this.address = address;
		}

		void add(Consumer<Outcome> listener) {
			if (this.outcome == null) {
				this.listeners.add(listener);
				return;
			}
			EngineReports.this.executor.execute(() -> listener.accept(this.outcome));
		}

		void send() {
			this.call = BackendCall.send(EngineReports.this.clients, new BackendRequest(this.address, "GET",
					EngineReports.this.dialect.reportPath(), () -> false, () -> Optional.of(List.of()), new byte[0]),
					this::onSignal);
			scheduleTimeout(MAX_EXTENSIONS, nowMs() + TIMEOUT_MS);
		}

		private void onSignal(Signal signal) {
			switch (signal) {
				case Signal.Header header -> {
					this.status = header.status();
					EngineReports.this.permits.recordNotice(this.address, EngineReports.this.dialect
						.serverNotice(header.status(), HeaderList.lookup(header.headers())));
				}
				case Signal.Data data -> add(data.bytes());
				case Signal.End end -> finish(new Reported((this.status == OK)
						? EngineReports.this.dialect.parseStatus(this.body.toByteArray()) : Optional.empty()));
				case Signal.Failed failed -> finish(new Unreachable());
				case Signal.Writing writing -> {
				}
				case Signal.Withheld withheld -> {
				}
				case Signal.CallerDisconnected disconnected -> {
				}
				case Signal.StallDiagnosis diagnosis -> {
				}
			}
		}

		private void add(byte[] bytes) {
			this.body.writeBytes(bytes);
			if (this.body.size() > MAX_REPORT_BYTES) {
				this.call.close();
				finish(new Reported(Optional.empty()));
			}
			else {
				this.call.requestMore();
			}
		}

		private void finish(Outcome result) {
			if (this.outcome != null) {
				return;
			}
			this.outcome = result;
			this.answeredAtMs = nowMs();
			List<Consumer<Outcome>> waiting = List.copyOf(this.listeners);
			this.listeners.clear();
			waiting.forEach((listener) -> listener.accept(result));
		}

		// A timeout that fires late is extended, since the response may have arrived
		// unread.
		private void scheduleTimeout(int extensions, long dueAtMs) {
			EngineReports.this.executor.schedule(() -> {
				long nowMs = nowMs();
				if (this.outcome != null) {
					return;
				}
				if (nowMs < dueAtMs) {
					scheduleTimeout(extensions, dueAtMs);
					return;
				}
				EngineReports.this.timerLateness.record(dueAtMs, nowMs);
				if (extensions > 0 && EngineReports.this.timerLateness.isLate()) {
					scheduleTimeout(extensions - 1, nowMs + TIMEOUT_MS);
					return;
				}
				this.call.close();
				finish(new Unreachable());
			}, Math.max(1, dueAtMs - nowMs()), TimeUnit.MILLISECONDS);
		}

	}

}
