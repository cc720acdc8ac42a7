package org.medlardrum.decisions.admission;

import java.util.function.ToDoubleFunction;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.decisions.admission.RulePolicy.Rule;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Replays the loads that the admission decisions address. Each test states what the
 * policy guarantees and that the earlier policy, first come and refused at once, does
 * not.
 */
class AdmissionReplayTests {

	// Guards against callers that return as told and are refused again, and against a
	// lower share of callers served at all.
	@ParameterizedTest
	@CsvSource({ "1, 0", "2, 0", "3, 0", "1, 1000", "2, 1000", "3, 1000" })
	void surgesRefuseFarFewerReturningCallers(long seed, int viewAgeMs) {
		ReplayLoad load = ReplayLoad.surges(seed, viewAgeMs);
		AdmissionReplay earlier = AdmissionReplay.runEarlier(load);
		AdmissionReplay waitlist = AdmissionReplay.run(load, WaitlistPolicy::new);
		assertWithMessage("callers refused again").that((double) waitlist.refusedAgain())
			.isLessThan(0.7 * earlier.refusedAgain());
		assertWithMessage("served at all").that(waitlist.servedShare((caller) -> true))
			.isGreaterThan(earlier.servedShare((caller) -> true) - 0.04);
		assertWithMessage("rank 0 on time").that(onTime(waitlist, 0)).isAtLeast(onTime(earlier, 0));
	}

	// Guards against less urgent work that fills the pool while the hosts' views are old.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void urgentRanksStartOnTimeWithOldViews(long seed) {
		ReplayLoad load = ReplayLoad.surges(seed, 1000);
		assertGuarantee(load, (run) -> onTime(run, 0), 0.92);
		assertGuarantee(load, (run) -> onTime(run, 1), 0.62);
	}

	// Guards against one organisation whose volume takes the capacity of the others.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void smallOrganisationsStartOnTimeBesideALargeOne(long seed) {
		assertGuarantee(ReplayLoad.oneLargeOrganisation(seed),
				(run) -> run.onTimeShare((caller) -> !caller.organisation().equals("o0")), 0.85);
	}

	// Guards against callers that gain capacity by retrying immediately.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void callersThatRetryImmediatelyGainLittle(long seed) {
		assertGuarantee(ReplayLoad.immediateRetries(seed),
				(run) -> run.onTimeShare((caller) -> caller.immediateRetries() == 0)
						- run.onTimeShare((caller) -> caller.immediateRetries() > 0),
				-0.05);
	}

	// Guards against freed capacity that goes to whoever arrives first.
	@Test
	void eachFreedUnitGoesToTheMostUrgentRankAndTheFloors() {
		assertGuarantee(ReplayLoad.oneUnitAtATime(), (run) -> onTime(run, 0), 0.8);
		AdmissionReplay waitlist = AdmissionReplay.run(ReplayLoad.oneUnitAtATime(), WaitlistPolicy::new);
		// A floor of 0.05 of the starts is 0.05 of the callers of rank 1 and half of that
		// for rank 2, of which twice as many arrive.
		assertWithMessage("rank 1").that(waitlist.servedShare((caller) -> caller.rank() == 1)).isAtLeast(0.05);
		assertWithMessage("rank 2").that(waitlist.servedShare((caller) -> caller.rank() == 2)).isAtLeast(0.025);
	}

	// Guards the choice of the order: organisations that send little are served better
	// than by the rules that were not chosen, with the same reserve.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void smallOrganisationsAreServedBetterThanByTheOtherRules(long seed) {
		ReplayLoad load = ReplayLoad.longQueue(seed);
		AdmissionReplay chosen = AdmissionReplay.run(load, () -> new WaitlistPolicy(false));
		for (Rule rule : Rule.values()) {
			AdmissionReplay other = AdmissionReplay.run(load, () -> new RulePolicy(rule));
			assertWithMessage("small organisations, %s", rule)
				.that(chosen.servedShare((caller) -> !caller.organisation().equals("o0")))
				.isGreaterThan(other.servedShare((caller) -> !caller.organisation().equals("o0")));
		}
	}

	private static void assertGuarantee(ReplayLoad load, ToDoubleFunction<AdmissionReplay> measure, double atLeast) {
		double waitlist = measure.applyAsDouble(AdmissionReplay.run(load, WaitlistPolicy::new));
		assertWithMessage("new policy").that(waitlist).isAtLeast(atLeast);
		double earlier = measure.applyAsDouble(AdmissionReplay.runEarlier(load));
		assertWithMessage("earlier policy").that(earlier).isLessThan(atLeast);
	}

	private static double onTime(AdmissionReplay run, int rank) {
		return run.onTimeShare((caller) -> caller.rank() == rank);
	}

}
