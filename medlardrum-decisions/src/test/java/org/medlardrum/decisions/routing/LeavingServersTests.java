package org.medlardrum.decisions.routing;

import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.medlardrum.state.routing.ServerStart;
import org.medlardrum.state.routing.ServiceInstance;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against requests to a server that has said that it is leaving, after the
 * registry has said once more that it is sound.
 */
class LeavingServersTests {

	private final LeavingServers leaving = new LeavingServers();

	private static ServiceInstance report(long startedAtMs, boolean draining) {
		return new ServiceInstance("s1", "ledger", "127.0.0.1:9", "a", 8, draining, startedAtMs, "", Optional.empty());
	}

	@Test
	void reportOfTheSameStartIsNotBelieved() {
		this.leaving.record(new ServerStart("s1", 1), 0);
		assertThat(this.leaving.correct(report(1, false)).draining()).isTrue();
	}

	@Test
	void onlyANewStartEndsIt() {
		this.leaving.record(new ServerStart("s1", 1), 0);
		assertThat(this.leaving.toTell(3_600_000)).isEmpty();
		assertThat(this.leaving.correct(report(1, false)).draining()).isTrue();
		assertThat(this.leaving.correct(report(2, false)).draining()).isFalse();
	}

	@Test
	void whatAnotherHostToldIsNotToldOn() {
		assertThat(this.leaving.recordTold(new ServerStart("s1", 1))).isTrue();
		assertThat(this.leaving.record(new ServerStart("s2", 1), 0)).isTrue();
		assertThat(this.leaving.record(new ServerStart("s2", 1), 10)).isFalse();
		assertThat(this.leaving.toTell(100)).containsExactly(new ServerStart("s2", 1));
		assertThat(this.leaving.contains(report(1, false))).isTrue();
	}

}
