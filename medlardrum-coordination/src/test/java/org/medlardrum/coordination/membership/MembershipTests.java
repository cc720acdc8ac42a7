package org.medlardrum.coordination.membership;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.medlardrum.coordination.FakePlatformStore;
import org.medlardrum.coordination.TestHosts;
import org.medlardrum.state.BackendServer;
import org.medlardrum.state.BackendServerKind;
import org.medlardrum.state.Host;
import org.medlardrum.state.HostDirectory;
import org.medlardrum.state.HostState;
import org.medlardrum.state.ManualClock;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a host list that goes back, is lost in an outage, or hides that a host
 * died or is leaving.
 */
class MembershipTests {

	private final ManualClock clock = new ManualClock(1_000_000);

	private final FakePlatformStore store = new FakePlatformStore(this.clock);

	private final Membership membership = new Membership(this.store, "entry-0", this.clock, MembershipOptions.DEFAULT);

	private List<String> livePeers() {
		return this.membership.livePeers().stream().map(Host::id).toList();
	}

	@Test
	void olderRevisionIsIgnored() {
		this.store.setHosts(TestHosts.directory(7, 4, 2));
		this.membership.step();
		this.store.setHosts(TestHosts.directory(6, 2, 2));
		this.membership.step();
		assertThat(this.membership.directory().revision()).isEqualTo(7);
		assertThat(livePeers()).containsExactly("entry-1", "entry-2", "entry-3");
	}

	@Test
	void lastListStaysInUseDuringAnOutage() {
		this.store.setHosts(TestHosts.directory(1, 3, 1));
		assertThat(this.membership.step()).isEqualTo(0);
		this.store.setOutage(true);
		assertThat(this.membership.step()).isEqualTo(MembershipOptions.DEFAULT.retryMs());
		assertThat(livePeers()).hasSize(2);
		this.store.setOutage(false);
		this.store.setHosts(TestHosts.directory(2, 5, 1));
		this.membership.step();
		assertThat(livePeers()).hasSize(4);
	}

	@Test
	void hostThatRefusesConnectionsIsDeadUntilItIsHeardOrTimePasses() {
		this.store.setHosts(TestHosts.directory(1, 3, 1));
		this.membership.step();
		this.membership.recordContact("entry-1");
		this.clock.advance(1);
		this.membership.recordUnreachable("entry-1");
		this.membership.recordUnreachable("entry-2");
		assertThat(livePeers()).isEmpty();
		this.clock.advance(1);
		this.membership.recordContact("entry-1");
		assertThat(livePeers()).containsExactly("entry-1");
		this.clock.advance(MembershipOptions.DEFAULT.deadForMs());
		assertThat(livePeers()).containsExactly("entry-1", "entry-2");
	}

	@Test
	void hostThatIsHeardCountsAsLiveBeforeItIsListed() {
		assertThat(this.membership.isLive("entry-0")).isTrue();
		assertThat(this.membership.isLive("entry-9")).isFalse();
		this.membership.recordContact("entry-9");
		assertThat(this.membership.isLive("entry-9")).isTrue();
		this.clock.advance(MembershipOptions.DEFAULT.heardForMs() + 1);
		assertThat(this.membership.isLive("entry-9")).isFalse();
	}

	@Test
	void leavingIsMergedFromRumourReportAndList() {
		BackendServer engine = new BackendServer("engine-1", "zone-0", "127.0.0.1:1", "models",
				BackendServerKind.ENGINE, "a", HostState.LIVE);
		this.store.setHosts(new HostDirectory(1, TestHosts.directory(1, 2, 1).entryHosts(), List.of(engine)));
		this.membership.step();
		assertThat(this.membership.isLeaving("engine-1")).isFalse();
		this.membership.recordReportedLeaving("engine-1", true);
		this.membership.recordLeavingRumour("entry-1", this.clock.millis() + 5_000);
		assertThat(this.membership.isLeaving("engine-1")).isTrue();
		assertThat(this.membership.directory().backendServers().get(0).state()).isEqualTo(HostState.LEAVING);
		assertThat(this.membership.directory().entryHosts().get(1).state()).isEqualTo(HostState.LEAVING);
		this.membership.recordReportedLeaving("engine-1", false);
		this.clock.advance(5_000);
		assertThat(this.membership.isLeaving("engine-1")).isFalse();
		assertThat(this.membership.directory().entryHosts().get(1).state()).isEqualTo(HostState.LIVE);
	}

}
