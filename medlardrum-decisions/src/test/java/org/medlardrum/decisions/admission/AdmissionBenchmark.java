package org.medlardrum.decisions.admission;

import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.medlardrum.decisions.admission.AdmissionReplay.Caller;
import org.medlardrum.decisions.admission.RulePolicy.Rule;

/**
 * Prints the served shares of the replays under the earlier and the new policy and the
 * time of one admission decision.
 */
public final class AdmissionBenchmark {

	private static final int WAITING = 1000;

	private static final int ROUNDS = 200_000;

	private AdmissionBenchmark() {
	}

	/**
	 * Runs the benchmark.
	 * @param args not used
	 */
	public static void main(String[] args) {
		for (long seed = 1; seed <= 3; seed++) {
			replay("surges " + seed, ReplayLoad.surges(seed, 0));
			replay("surges, views 1 s old " + seed, ReplayLoad.surges(seed, 1000));
			replay("one large organisation " + seed, ReplayLoad.oneLargeOrganisation(seed));
			print("no reserve for it", ReplayLoad.oneLargeOrganisation(seed), () -> new WaitlistPolicy(false));
			replay("immediate retries " + seed, ReplayLoad.immediateRetries(seed));
		}
		replay("one unit at a time", ReplayLoad.oneUnitAtATime());
		for (long seed = 1; seed <= 3; seed++) {
			ReplayLoad load = ReplayLoad.longQueue(seed);
			replay("long queue " + seed, load);
			print("order of the new policy", load, () -> new WaitlistPolicy(false));
			for (Rule rule : Rule.values()) {
				print(rule.toString(), load, () -> new RulePolicy(rule));
			}
		}
		for (int round = 0; round < 3; round++) {
			decide();
		}
	}

	private static void replay(String name, ReplayLoad load) {
		System.out.println(name);
		print("earlier", load, () -> new ReplayPolicy() {
		});
		print("new", load, WaitlistPolicy::new);
	}

	private static void print(String name, ReplayLoad load, Supplier<? extends ReplayPolicy> policy) {
		AdmissionReplay run = AdmissionReplay.run(load, policy);
		StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "  %-26s on time/at all", name));
		for (int rank = 0; rank < 3; rank++) {
			int shown = rank;
			line.append(share(" rank " + rank, run, (caller) -> caller.rank() == shown));
		}
		line.append(share(" o0", run, (caller) -> caller.organisation().equals("o0")));
		line.append(share(" others", run, (caller) -> !caller.organisation().equals("o0")));
		line.append(share(" retry at once", run, (caller) -> caller.immediateRetries() > 0));
		line.append(share(" patient", run, (caller) -> caller.immediateRetries() == 0));
		line.append(share(" all", run, (caller) -> true));
		System.out.println(line + " refused again " + run.refusedAgain() + " of " + load.callers().size()
				+ " callers, refused by the pool " + run.poolRefusals());
	}

	private static String share(String name, AdmissionReplay run, Predicate<Caller> matching) {
		return String.format(Locale.ROOT, "%s %.3f/%.3f", name, run.onTimeShare(matching), run.servedShare(matching));
	}

	private static void decide() {
		SplittableRandom random = new SplittableRandom(1);
		AdmissionWaitlist waitlist = new AdmissionWaitlist(new AdmissionSettings(WAITING, WAITING, 0.05, 10_000, 6666));
		RoomForecast forecast = new RoomForecast();
		for (int i = 0; i < WAITING; i++) {
			waitlist.offer(request(random, i), forecast, 0);
		}
		for (int i = 0; i < 100; i++) {
			waitlist.recordStart(request(random, -1 - i), 0);
		}
		long startedNs = System.nanoTime();
		for (int i = 0; i < ROUNDS; i++) {
			AdmissionRequest next = waitlist.inOrder(1, 1).getFirst();
			waitlist.recordStart(next, 1);
			waitlist.offer(request(random, WAITING + i), forecast, 1);
		}
		double startNs = (System.nanoTime() - startedNs) / (double) ROUNDS;
		long listedNs = System.nanoTime();
		long listed = 0;
		for (int i = 0; i < ROUNDS / 100; i++) {
			List<AdmissionRequest> ordered = waitlist.inOrder(1);
			listed += ordered.size();
		}
		double listNs = (System.nanoTime() - listedNs) / (ROUNDS / 100.0);
		System.out.printf(Locale.ROOT,
				"%d waiting: start of the first and offer of another %.1f us,"
						+ " whole order of %d requests %.1f us%n",
				waitlist.size(), startNs / 1000, listed * 100 / ROUNDS, listNs / 1000);
	}

	private static AdmissionRequest request(SplittableRandom random, int number) {
		return new AdmissionRequest(Integer.toString(number), random.nextInt(4), "o" + random.nextInt(50),
				1 + random.nextInt(10), 0, 1_000_000 + random.nextInt(1000));
	}

}
