package org.medlardrum.gateway.internal.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.medlardrum.decisions.admission.AdmissionRequest;
import org.medlardrum.decisions.admission.AdmissionSettings;
import org.medlardrum.gateway.internal.log.DecisionLog;
import org.medlardrum.protocol.problem.ProblemType;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against requests that are refused although capacity is free, against rounds that
 * occupy the event loop, and against requests that are both started and refused.
 */
class ServiceAdmissionTests {

	private static final long WAIT_MS = 250;

	private static final long ESTIMATE_MS = 200;

	private static final long DEADLINE_MS = 10_000;

	private final AtomicLong nowMs = new AtomicLong(1_000);

	private final DecisionLog log = new DecisionLog(System.out);

	private final ServiceAdmission service = new ServiceAdmission("ledger",
			new AdmissionSettings(64, 64, 0.05, 10_000, 400), this.nowMs::get, () -> 8, () -> {
			}, this.log);

	/** Started and refused requests, and those tried in vain. */
	private final List<String> events = new ArrayList<>();

	private int free;

	private int requests;

	@AfterEach
	void stop() {
		this.log.close();
	}

	private RequestAdmission arrive(int rank) {
		String id = "r" + this.requests++;
		RequestAdmission admission = new RequestAdmission(this.service,
				new AdmissionRequest(id, rank, "org-1", 1, this.nowMs.get(), this.nowMs.get() + WAIT_MS), id,
				DEADLINE_MS);
		this.service.recordArrival(admission.request());
		return admission;
	}

	private RequestAdmission running() {
		RequestAdmission admission = arrive(0);
		admission.recordStart(ESTIMATE_MS);
		return admission;
	}

	private RequestAdmission waiting(int rank) {
		RequestAdmission admission = arrive(rank);
		assertThat(admission.await(new Waiting(admission))).isNull();
		return admission;
	}

	/**
	 * Eight ends within 3 s are a rate at which the next one comes too late for a request
	 * that waits for 250 ms at most.
	 */
	@Test
	void requestIsTriedBeforeTheForecastRefusesIt() {
		List<RequestAdmission> running = new ArrayList<>();
		for (int i = 0; i < 8; i++) {
			running.add(running());
		}
		RequestAdmission waiting = waiting(0);
		this.nowMs.addAndGet(60);
		running.forEach(RequestAdmission::close);
		this.free = 8;
		this.service.runRound();
		assertThat(this.events).containsExactly("start " + waiting.requestId());
		assertThat(this.service.size()).isEqualTo(0);
	}

	@Test
	void requestWhoseLastStartHasPassedIsNotTried() {
		RequestAdmission waiting = waiting(0);
		this.nowMs.addAndGet(WAIT_MS + 1);
		this.free = 8;
		this.service.runRound();
		assertThat(this.events).containsExactly("refuse " + waiting.requestId());
		waiting.close();
		assertThat(this.service.size()).isEqualTo(0);
	}

	/** Each search takes time in which the event loop does nothing else. */
	@Test
	void roundWithoutCapacityTriesAFewRequestsOnly() {
		for (int i = 0; i < 60; i++) {
			waiting(i % 3);
		}
		assertThat(this.service.runRound()).isFalse();
		assertThat(this.events).hasSize(4);
		assertThat(this.service.size()).isEqualTo(60);
	}

	@Test
	void roundStartsALimitedNumberOfRequestsAndAsksForAnother() {
		for (int i = 0; i < 40; i++) {
			waiting(0);
		}
		this.free = 40;
		assertThat(this.service.runRound()).isTrue();
		assertThat(this.events).hasSize(16);
		assertThat(this.service.runRound()).isTrue();
		assertThat(this.service.runRound()).isFalse();
		assertThat(this.events).hasSize(40);
		assertThat(this.events.stream().distinct().count()).isEqualTo(40);
	}

	/** A waitlist of 64 gives up a less urgent request for a more urgent one. */
	@Test
	void displacedRequestIsRefusedAndNeverStarted() {
		for (int i = 0; i < 64; i++) {
			waiting(2);
		}
		RequestAdmission urgent = waiting(0);
		assertThat(this.events).hasSize(1);
		String displaced = this.events.getFirst().replace("refuse ", "");
		this.free = 100;
		while (this.service.size() > 0) {
			this.service.runRound();
		}
		assertThat(this.events).contains("start " + urgent.requestId());
		assertThat(this.events).doesNotContain("start " + displaced);
		assertThat(this.events).hasSize(65);
	}

	@Test
	void stopRefusesEachRequestOnce() {
		waiting(0);
		waiting(1);
		this.service.stop(() -> 100);
		this.nowMs.addAndGet(WAIT_MS + 1);
		this.service.runRound();
		assertThat(this.events).containsExactly("refuse r0", "refuse r1");
	}

	/**
	 * Sends a request while capacity is free.
	 */
	private final class Waiting implements WaitingRequest {

		private final RequestAdmission admission;

		Waiting(RequestAdmission admission) {
			this.admission = admission;
		}

		@Override
		public void run(Supplier<String> step) {
			if (step.get() != null) {
				this.admission.close();
			}
		}

		@Override
		public String recheck() {
			return null;
		}

		@Override
		public boolean startLate() {
			return false;
		}

		@Override
		public String tryStart() {
			if (ServiceAdmissionTests.this.free > 0) {
				ServiceAdmissionTests.this.free--;
				this.admission.recordStart(ESTIMATE_MS);
				ServiceAdmissionTests.this.events.add("start " + this.admission.requestId());
			}
			else {
				ServiceAdmissionTests.this.events.add("try " + this.admission.requestId());
			}
			return null;
		}

		@Override
		public String refuse(ProblemType type, String reason, long retryAfterMs) {
			ServiceAdmissionTests.this.events.add("refuse " + this.admission.requestId());
			return "refused";
		}

	}

}
