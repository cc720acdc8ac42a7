package org.medlardrum.decisions.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.state.LayerRange;
import org.medlardrum.state.routing.ServiceInstance;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against chains through an engine that returned without layers, which this host
 * cannot know while its copy of the registry is old.
 */
class LayerDenialsTests {

	private final LayerDenials denials = new LayerDenials();

	private static ServiceInstance report(long startedAtMs, long number) {
		return new ServiceInstance("e1", "pool", "10.0.0.1:1", "a", 8, false, startedAtMs, "l4",
				Optional.of(new LayerRange(0, 12)), number);
	}

	/**
	 * The registry cannot be read for 9 s. The engine returns empty and refuses every
	 * chain; each refusal costs the request an attempt. Requests arrive every 10 ms.
	 */
	@Test
	void hostWithAnOldRegistryAsksAnEmptyEngineOncePerDenial() {
		ServerSuspicions suspicions = new ServerSuspicions();
		ServiceInstance old = report(1, 7);
		int earlierRefusals = 0;
		int refusals = 0;
		for (long nowMs = 0; nowMs < 9_000; nowMs += 10) {
			if (!suspicions.isSuspect("a", "e1", "a", nowMs)) {
				earlierRefusals++;
				suspicions.suspect("a", "e1", "a", nowMs + ServerSuspicions.REFUSED_SUSPICION_MS);
			}
			if (!this.denials.isDenied(old, nowMs)) {
				refusals++;
				this.denials.record(old, nowMs);
			}
		}
		assertThat(earlierRefusals).isEqualTo(9);
		assertThat(refusals).isEqualTo(3);
	}

	@Test
	void newerReportEndsTheDenial() {
		this.denials.record(report(5, 7), 1_000);
		assertThat(this.denials.isDenied(report(5, 6), 1_001)).isTrue();
		assertThat(this.denials.isDenied(report(5, 7), 1_001)).isTrue();
		assertThat(this.denials.isDenied(report(5, 8), 1_001)).isFalse();
		assertThat(this.denials.isDenied(report(6, 0), 1_001)).isFalse();
	}

	@ParameterizedTest
	@ValueSource(longs = { 0, 1, 3_999, 4_000 })
	void denialEndsWithoutANewerReport(long ageMs) {
		assertThat(this.denials.record(report(5, 7), 1_000)).isTrue();
		assertThat(this.denials.isDenied(report(5, 7), 1_000 + ageMs)).isEqualTo(ageMs < LayerDenials.DENIAL_MS);
		assertThat(this.denials.count(1_000 + ageMs)).isEqualTo((ageMs < LayerDenials.DENIAL_MS) ? 1 : 0);
	}

	/** The refusal of a chain that was chosen before the report arrives after it. */
	@Test
	void refusalOfAnOlderReportDoesNotDenyTheNewerOne() {
		assertThat(this.denials.record(report(5, 8), 1_000)).isTrue();
		this.denials.record(report(5, 7), 1_100);
		assertThat(this.denials.isDenied(report(5, 8), 1_200)).isTrue();
		assertThat(this.denials.isDenied(report(5, 9), 1_200)).isFalse();
		this.denials.record(report(4, 20), 1_100);
		assertThat(this.denials.isDenied(report(5, 9), 1_200)).isFalse();
	}

	/** A second refusal extends the denial; it is logged once. */
	@Test
	void repeatedRefusalIsNotNew() {
		assertThat(this.denials.record(report(5, 7), 1_000)).isTrue();
		assertThat(this.denials.record(report(5, 7), 2_000)).isFalse();
		assertThat(this.denials.isDenied(report(5, 7), 5_500)).isTrue();
		assertThat(this.denials.record(report(5, 7), 6_000)).isTrue();
	}

	/**
	 * No host can read the registry for 9 s. Each sends a chain every 40 ms and a digest
	 * every 300 ms, at times of its own. Without denials 27 hosts receive 130 refusals
	 * and 109 hosts 200, with them 34 and 33.
	 */
	@ParameterizedTest
	@CsvSource({ "27, true", "109, true", "27, false", "109, false" })
	void hostsWithOldRegistriesAskAnEmptyEngineRarely(int hostCount, boolean denied) {
		List<Peer> hosts = new ArrayList<>();
		for (int i = 0; i < hostCount; i++) {
			hosts.add(new Peer("host-" + i, new ServerSuspicions(), new LayerDenials()));
		}
		ServiceInstance old = report(1, 7);
		int refusals = 0;
		for (long nowMs = 0; nowMs < 9_000; nowMs++) {
			for (int i = 0; i < hostCount; i++) {
				Peer host = hosts.get(i);
				if ((nowMs + 7 * i) % 40 == 0 && !host.suspicions.isSuspect("a", "e1", "a", nowMs)
						&& !host.denials.isDenied(old, nowMs)) {
					refusals++;
					host.refuse(old, denied, nowMs);
				}
				if ((nowMs + 11 * i) % 300 == 0) {
					host.tell(hosts, old, nowMs);
				}
			}
		}
		if (denied) {
			assertThat(refusals).isAtMost(45);
		}
		else {
			assertThat(refusals).isAtLeast(100);
		}
	}

	@Test
	void denialThatANewerReportEndedIsNotTold() {
		this.denials.record(report(5, 7), 1_000);
		assertThat(this.denials.toTell((id) -> Optional.of(report(5, 7)), 1_500))
			.containsExactly(new ServerSuspicions.Suspicion("a", "e1", "a", ServerSuspicions.REFUSED_SUSPICION_MS));
		assertThat(this.denials.toTell((id) -> Optional.of(report(5, 7)), 4_600))
			.containsExactly(new ServerSuspicions.Suspicion("a", "e1", "a", 400));
		assertThat(this.denials.toTell((id) -> Optional.of(report(5, 8)), 1_500)).isEmpty();
		assertThat(this.denials.toTell((id) -> Optional.empty(), 1_500)).isEmpty();
	}

	private record Peer(String id, ServerSuspicions suspicions, LayerDenials denials) {

		void refuse(ServiceInstance report, boolean denied, long nowMs) {
			this.suspicions.suspect("a", report.id(), "a", nowMs + ServerSuspicions.REFUSED_SUSPICION_MS);
			if (denied) {
				this.denials.record(report, nowMs);
			}
		}

		void tell(List<Peer> hosts, ServiceInstance report, long nowMs) {
			List<ServerSuspicions.Suspicion> told = new ArrayList<>(this.suspicions.entries(nowMs));
			told.addAll(this.denials.toTell((server) -> Optional.of(report), nowMs));
			for (Peer other : hosts) {
				if (other != this) {
					told.forEach((suspicion) -> other.suspicions.suspectTold(this.id, suspicion, nowMs));
				}
			}
		}

	}

}
