package org.medlardrum.decisions.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against hosts that together send a server more than its limit while hosts join,
 * restart or are cut off from each other, and against shares that hosts without demand
 * keep from the others.
 */
class SharedRequestLimitsTests {

	private static final String SERVER = "s1";

	private static final int DURATION_MS = 30_000;

	private static final int STEP_MS = 10;

	private static final int REPORT_INTERVAL_MS = 300;

	private static final int DISTURBED_AT_MS = 12_000;

	private static final int DISTURBED_UNTIL_MS = 18_000;

	private static final int WINDOW_MS = 4_000;

	/** Time after the first statement from which the users' rule holds. */
	private static final int JUDGED_FROM_MS = 3_000;

	private final Random random = new Random(21);

	private final List<SharedRequestLimits> hosts = new ArrayList<>();

	private final List<Integer> sentAtMs = new ArrayList<>();

	private void addHosts(int count) {
		for (int i = 0; i < count; i++) {
			this.hosts.add(new SharedRequestLimits("h" + this.hosts.size()));
		}
		tellHosts();
	}

	private void tellHosts() {
		for (int i = 0; i < this.hosts.size(); i++) {
			List<String> others = new ArrayList<>();
			for (int j = 0; j < this.hosts.size(); j++) {
				if (j != i) {
					others.add("h" + j);
				}
			}
			this.hosts.get(i).updateHosts(others);
		}
	}

	private void exchange(int nowMs, boolean cut) {
		for (int i = 0; i < this.hosts.size(); i++) {
			if ((nowMs + 20 * i) % REPORT_INTERVAL_MS >= STEP_MS) {
				continue;
			}
			for (LimitReport report : this.hosts.get(i).takeReports(nowMs)) {
				for (int j = 0; j < this.hosts.size(); j++) {
					if (j != i && !(cut && i % 2 != j % 2)) {
						this.hosts.get(j).merge("h" + i, report, nowMs);
					}
				}
			}
		}
	}

	private void send(int host, int nowMs, double limitPerS) {
		SharedRequestLimits limits = this.hosts.get(host);
		limits.recordDemand(SERVER, nowMs);
		if (limits.tryTake(SERVER, nowMs)) {
			this.sentAtMs.add(nowMs);
			limits.recordLimit(SERVER, OptionalDouble.of(limitPerS), nowMs);
		}
	}

	private void disturb(String disturbance) {
		if (disturbance.equals("join")) {
			addHosts(1);
		}
		if (disturbance.equals("restart")) {
			this.hosts.set(0, new SharedRequestLimits("h0"));
			tellHosts();
		}
	}

	private void play(double limitPerS, double demandPerS, int activeHosts, String disturbance) {
		for (int nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
			if (nowMs == DISTURBED_AT_MS) {
				disturb(disturbance);
			}
			boolean disturbed = nowMs >= DISTURBED_AT_MS && nowMs < DISTURBED_UNTIL_MS;
			exchange(nowMs, disturbed && disturbance.equals("cut"));
			for (int i = 0; i < activeHosts; i++) {
				if (this.random.nextDouble() < demandPerS / activeHosts * STEP_MS / 1_000) {
					send(i, nowMs, limitPerS);
				}
			}
		}
	}

	private int mostInAWindow() {
		int most = 0;
		for (int start = JUDGED_FROM_MS; start + WINDOW_MS <= DURATION_MS; start += STEP_MS) {
			int from = start;
			most = Math.max(most,
					(int) this.sentAtMs.stream().filter((atMs) -> atMs >= from && atMs < from + WINDOW_MS).count());
		}
		return most;
	}

	private double sentPerS() {
		return this.sentAtMs.size() * 1_000.0 / DURATION_MS;
	}

	@ParameterizedTest
	@CsvSource({ "15, 2, none", "15, 7.5, none", "15, 40, none", "92, 7.5, none", "15, 7.5, join", "15, 7.5, restart",
			"15, 7.5, cut", "92, 20, cut", "3, 1, restart" })
	void hostsTogetherStayWithinTheLimitAndUseMostOfIt(int count, double limitPerS, String disturbance) {
		addHosts(count);
		play(limitPerS, 3 * limitPerS, count, disturbance);
		assertThat((double) mostInAWindow()).isAtMost(1.5 * limitPerS * WINDOW_MS / 1_000 + 5);
		assertWithMessage("requests a second").that(sentPerS()).isAtLeast(0.6 * limitPerS);
	}

	@ParameterizedTest
	@CsvSource({ "15, 1", "15, 4", "92, 3" })
	void hostsWithoutDemandLeaveTheirSharesToTheOthers(int count, int active) {
		double limitPerS = 7.5;
		addHosts(count);
		play(limitPerS, 3 * limitPerS, active, "none");
		assertThat((double) mostInAWindow()).isAtMost(1.5 * limitPerS * WINDOW_MS / 1_000 + 5);
		assertWithMessage("requests a second").that(sentPerS()).isAtLeast(0.6 * limitPerS);
	}

	@Test
	void littleDemandOfManyHostsIsNotRationed() {
		double demandPerS = 4;
		addHosts(92);
		play(10, demandPerS, 92, "none");
		assertThat(sentPerS()).isAtLeast(0.75 * demandPerS);
	}

	@Test
	void limitEndsOnAllHostsWhenTheServerNamesItNoMore() {
		addHosts(2);
		this.hosts.get(0).recordLimit(SERVER, OptionalDouble.of(1), 0);
		this.hosts.get(1).merge("h0", this.hosts.get(0).takeReports(10).getFirst(), 20);
		assertThat(this.hosts.get(1).limitedServers()).containsExactly(SERVER);
		this.hosts.get(0).recordLimit(SERVER, OptionalDouble.empty(), 100);
		this.hosts.get(1).merge("h0", this.hosts.get(0).takeReports(110).getFirst(), 120);
		assertThat(this.hosts.get(1).limitedServers()).isEmpty();
		for (int i = 0; i < 50; i++) {
			this.hosts.get(1).recordDemand(SERVER, 130);
			assertThat(this.hosts.get(1).tryTake(SERVER, 130)).isTrue();
		}
	}

	/**
	 * What another host heard before may arrive after the server's latest statement.
	 */
	@Test
	void olderStatementDoesNotReplaceANewerOne() {
		addHosts(2);
		this.hosts.get(0).recordLimit(SERVER, OptionalDouble.of(5), 1_000);
		this.hosts.get(0).merge("h1", new LimitReport(SERVER, 0, 500, 0), 1_100);
		assertThat(this.hosts.get(0).limitedServers()).containsExactly(SERVER);
	}

	@ParameterizedTest
	@CsvSource({ "NaN, 0", "-1, 0", "5, NaN", "5, -2" })
	void malformedReportIsIgnored(double limitPerS, double demandPerS) {
		addHosts(2);
		this.hosts.get(0).merge("h1", new LimitReport(SERVER, limitPerS, 0, demandPerS), 0);
		assertThat(this.hosts.get(0).limitedServers()).isEmpty();
	}

}
