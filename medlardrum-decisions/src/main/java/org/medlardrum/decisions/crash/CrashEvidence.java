package org.medlardrum.decisions.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.medlardrum.decisions.crash.Evidence.State;
import org.medlardrum.state.routing.ServerStart;

/**
 * Evidence of what crashes servers, merged from all entry hosts, and the verdicts that
 * follow from it. A server crashes when it begins to answer, so only requests that it had
 * not begun to answer are evidence, and a subject with which any server begins an answer
 * is cleared of the crashes known so far. Verdicts depend on the evidence alone, not on
 * the host or the order of arrival. Times are those of the host's monotonic clock. Not
 * thread-safe.
 *
 * <pre>
 * evidence.recordCrash(new ServerStart("server-1", startedAtMs), Set.of(Subject.promptPart("5c1e")), nowMs);
 * Verdict verdict = evidence.verdict(Set.of(Subject.promptPart("5c1e")), nowMs);
 * </pre>
 */
public final class CrashEvidence {

	/** Crashes that convict a subject that was the only one blamed for one of them. */
	private static final int CRASHES_IF_BLAMED_ALONE = 2;

	/** Crashes that convict a subject that was never blamed alone. */
	private static final int CRASHES_IF_BLAMED_WITH_OTHERS = 3;

	/**
	 * Limit of subjects that are remembered as begun. The users' prompts share a few
	 * hundred parts.
	 */
	private static final int MAX_BEGUN_SUBJECTS = 4_096;

	/** Limit of crashes whose evidence is kept; the oldest are dropped. */
	private static final int MAX_CRASHES = 64;

	private final long retentionMs;

	private final Map<ServerStart, Crash> crashes = new LinkedHashMap<>();

	private final Map<Subject, Boolean> begun = new LinkedHashMap<>(16, 0.75F, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<Subject, Boolean> eldest) {
			return size() > MAX_BEGUN_SUBJECTS;
		}

	};

	/** The verdicts, {@code null} after the evidence has changed. */
	private Judgement judgement;

	/**
	 * Creates an empty ledger.
	 * @param retentionMs time in milliseconds for which evidence counts; also the longest
	 * quarantine
	 */
	public CrashEvidence(long retentionMs) {
		if (retentionMs <= 0) {
			throw new IllegalArgumentException("Retention is " + retentionMs + " ms; it must be positive");
		}
		this.retentionMs = retentionMs;
	}

	/**
	 * Records the subjects of a request that a server had not begun to answer when it
	 * crashed.
	 * @param crash the start that ended with the crash
	 * @param subjects the subjects, parts of the prompt in their order
	 * @param nowMs current time
	 * @return the evidence that is new, for other hosts
	 */
	public List<Evidence> recordCrash(ServerStart crash, Collection<Subject> subjects, long nowMs) {
		List<Evidence> changed = new ArrayList<>();
		int position = 0;
		for (Subject subject : subjects) {
			int ownPosition = (subject.isPromptPart()) ? position++ : 0;
			merge(new Evidence(crash, subject, ownPosition, State.SUSPECT, 0), nowMs).ifPresent(changed::add);
		}
		return changed;
	}

	/**
	 * Records that a server has begun an answer, which clears the subjects of the crashes
	 * known so far.
	 * @param subjects the subjects of the request
	 * @param nowMs current time
	 * @return the evidence that has changed, for other hosts
	 */
	public List<Evidence> recordBegun(Collection<Subject> subjects, long nowMs) {
		expire(nowMs);
		List<Evidence> changed = new ArrayList<>();
		for (Subject subject : subjects) {
			this.begun.put(subject, Boolean.TRUE);
			this.crashes.forEach((start, crash) -> {
				if (crash.isAccused(subject)) {
					crash.states.put(subject, State.CLEARED);
					changed.add(crash.evidence(start, subject, nowMs));
				}
			});
		}
		if (!changed.isEmpty()) {
			this.judgement = null;
		}
		return changed;
	}

	/**
	 * Merges evidence of another host. It may arrive late, repeatedly and in any order.
	 * @param evidence the evidence
	 * @param nowMs current time
	 * @return the evidence as it stands now if it has changed or if this host knows more
	 * than the other one, otherwise empty
	 */
	public Optional<Evidence> merge(Evidence evidence, long nowMs) {
		expire(nowMs);
		long ageMs = Math.max(0, evidence.ageMs());
		if (ageMs >= this.retentionMs) {
			return Optional.empty();
		}
		Crash crash = this.crashes.computeIfAbsent(evidence.crash(), (key) -> new Crash(nowMs - ageMs));
		State before = crash.states.get(evidence.subject());
		State merged = later(evidence.state(), (before != null) ? before : State.SUSPECT);
		if (merged == State.SUSPECT && this.begun.containsKey(evidence.subject())) {
			merged = State.KNOWN_BEFORE;
		}
		crash.positions.merge(evidence.subject(), evidence.position(), Math::max);
		if (merged != before) {
			crash.states.put(evidence.subject(), merged);
			if (this.crashes.size() > MAX_CRASHES) {
				this.crashes.remove(this.crashes.keySet().iterator().next());
			}
			this.judgement = null;
		}
		boolean news = merged != before || merged != evidence.state();
		return (news) ? Optional.of(crash.evidence(evidence.crash(), evidence.subject(), nowMs)) : Optional.empty();
	}

	private Judgement judgement() {
		if (this.judgement == null) {
			this.judgement = Judgement.of(this.crashes);
		}
		return this.judgement;
	}

	private static State later(State one, State other) {
		return (one.compareTo(other) >= 0) ? one : other;
	}

	/**
	 * Judges a request.
	 * @param subjects its subjects
	 * @param nowMs current time
	 * @return the gravest verdict on any of the subjects
	 */
	public Verdict verdict(Collection<Subject> subjects, long nowMs) {
		if (this.crashes.isEmpty()) {
			return new Verdict.Clear();
		}
		expire(nowMs);
		Verdict verdict = new Verdict.Clear();
		for (Subject subject : subjects) {
			if (judgement().convicted.contains(subject)) {
				return new Verdict.Convicted(subject, lastCrashMs(subject) + this.retentionMs);
			}
			if (judgement().suspected.contains(subject)) {
				verdict = new Verdict.Suspected(subject, lastCrashMs(subject));
			}
		}
		return verdict;
	}

	private long lastCrashMs(Subject subject) {
		return this.crashes.values()
			.stream()
			.filter((crash) -> crash.states.containsKey(subject))
			.mapToLong((crash) -> crash.recordedAtMs)
			.max()
			.orElse(0);
	}

	/**
	 * Returns the evidence against convicted subjects, which hosts that have joined since
	 * need to know.
	 * @param nowMs current time
	 * @return the evidence
	 */
	public List<Evidence> evidenceOfConvictions(long nowMs) {
		expire(nowMs);
		List<Evidence> result = new ArrayList<>();
		this.crashes.forEach((start, crash) -> crash.states.forEach((subject, state) -> {
			if (state != State.CLEARED && judgement().convicted.contains(subject)) {
				result.add(crash.evidence(start, subject, nowMs));
			}
		}));
		return result;
	}

	/**
	 * Returns whether there is evidence of a crash.
	 * @param crash the start that ended with the crash
	 * @return {@code true} if the crash is known and its evidence has not expired
	 */
	public boolean hasCrash(ServerStart crash) {
		return this.crashes.containsKey(crash);
	}

	/**
	 * Returns whether there is no evidence.
	 * @return {@code true} if every request may be sent
	 */
	public boolean isEmpty() {
		return this.crashes.isEmpty();
	}

	private void expire(long nowMs) {
		if (this.crashes.values().removeIf((crash) -> nowMs - crash.recordedAtMs >= this.retentionMs)) {
			this.judgement = null;
		}
	}

	private static final class Crash {

		private final long recordedAtMs;

		private final Map<Subject, State> states = new HashMap<>();

		private final Map<Subject, Integer> positions = new HashMap<>();

		Crash(long recordedAtMs) {
			this.recordedAtMs = recordedAtMs;
		}

		Evidence evidence(ServerStart start, Subject subject, long nowMs) {
			return new Evidence(start, subject, this.positions.getOrDefault(subject, 0), this.states.get(subject),
					nowMs - this.recordedAtMs);
		}

		boolean isAccused(Subject subject) {
			State state = this.states.get(subject);
			return state != null && state != State.CLEARED;
		}

		// Subjects that no server is known to have answered are the likelier cause.
		Set<Subject> accused(Subject.Kind kind) {
			Set<Subject> suspects = new HashSet<>();
			Set<Subject> all = new HashSet<>();
			this.states.forEach((subject, state) -> {
				if (subject.kind() == kind && state != State.CLEARED) {
					all.add(subject);
					if (state == State.SUSPECT) {
						suspects.add(subject);
					}
				}
			});
			return (suspects.isEmpty()) ? all : suspects;
		}

		boolean isExplainedBy(Set<Subject> convicted) {
			return convicted.stream().anyMatch(this::isAccused);
		}

	}

	/**
	 * Verdicts on all subjects of the evidence.
	 */
	private record Judgement(Set<Subject> convicted, Set<Subject> suspected) {

		// Requests are judged by the crashes that no part of a prompt explains.
		static Judgement of(Map<ServerStart, Crash> crashes) {
			List<Crash> unexplained = distinct(crashes);
			Set<Subject> convicted = new HashSet<>(convict(Subject.Kind.PROMPT_PART, unexplained));
			Set<Subject> suspected = new HashSet<>();
			for (Crash crash : unexplained) {
				Set<Subject> accused = crash.accused(Subject.Kind.PROMPT_PART);
				accused.removeIf((subject) -> crash.states.get(subject) != State.SUSPECT);
				suspected.addAll(accused);
			}
			convicted.addAll(convict(Subject.Kind.REQUEST, unexplained));
			return new Judgement(convicted, suspected);
		}

		// A crash whose start is unknown may be one of the same server that is known.
		private static List<Crash> distinct(Map<ServerStart, Crash> crashes) {
			Set<String> known = new HashSet<>();
			crashes.keySet().stream().filter(ServerStart::isKnown).map(ServerStart::server).forEach(known::add);
			List<Crash> distinct = new ArrayList<>();
			crashes.forEach((start, crash) -> {
				if (start.isKnown() || !known.contains(start.server())) {
					distinct.add(crash);
				}
			});
			return distinct;
		}

		// Removes the crashes that a convicted subject explains. Each conviction may
		// leave
		// another subject alone to blame for a crash.
		private static Set<Subject> convict(Subject.Kind kind, List<Crash> unexplained) {
			Set<Subject> convicted = new HashSet<>();
			Set<Subject> found;
			do {
				found = findConvicted(kind, unexplained);
				convicted.addAll(found);
				unexplained.removeIf((crash) -> crash.isExplainedBy(convicted));
			}
			while (!found.isEmpty());
			return convicted;
		}

		private static Set<Subject> findConvicted(Subject.Kind kind, List<Crash> crashes) {
			Map<Subject, Set<Crash>> crashesOf = new HashMap<>();
			crashes.forEach((crash) -> crash.accused(kind)
				.forEach((subject) -> crashesOf.computeIfAbsent(subject, (key) -> new HashSet<>()).add(crash)));
			Set<Subject> alone = new HashSet<>();
			Set<Subject> blamed = new HashSet<>();
			for (Crash crash : crashes) {
				Set<Subject> accused = crash.accused(kind);
				Set<Subject> likeliest = new HashSet<>(accused);
				likeliest.removeIf((subject) -> accused.stream()
					.anyMatch((other) -> crash.positions.get(other) > crash.positions.get(subject)
							&& crashesOf.get(other).containsAll(crashesOf.get(subject))));
				blamed.addAll(likeliest);
				if (likeliest.size() == 1) {
					alone.addAll(likeliest);
				}
			}
			blamed.removeIf((subject) -> crashesOf.get(subject)
				.size() < ((alone.contains(subject)) ? CRASHES_IF_BLAMED_ALONE : CRASHES_IF_BLAMED_WITH_OTHERS));
			return blamed;
		}

	}

}
