package org.medlardrum.gateway.internal.load;

import java.util.Optional;

import org.medlardrum.decisions.crash.Evidence;
import org.medlardrum.decisions.crash.Subject;
import org.medlardrum.peer.gen.CrashEvidence;
import org.medlardrum.peer.gen.CrashSubjectKind;
import org.medlardrum.peer.gen.CrashSubjectState;
import org.medlardrum.state.routing.ServerStart;

/**
 * Converts evidence about crashes to the form that it has in digests, and back.
 */
final class EvidenceCodec {

	private EvidenceCodec() {
	}

	static CrashEvidence encode(Evidence evidence) {
		CrashSubjectKind kind = switch (evidence.subject().kind()) {
			case PROMPT_PART -> CrashSubjectKind.PROMPT_PART;
			case REQUEST -> CrashSubjectKind.REQUEST;
		};
		CrashSubjectState state = switch (evidence.state()) {
			case SUSPECT -> CrashSubjectState.SUSPECT;
			case KNOWN_BEFORE -> CrashSubjectState.KNOWN_BEFORE;
			case CLEARED -> CrashSubjectState.CLEARED;
		};
		CrashEvidence encoded = new CrashEvidence(evidence.crash().server(), kind, evidence.subject().id(),
				evidence.position(), state, evidence.ageMs());
		encoded.setStartedAtMs(evidence.crash().startedAtMs());
		return encoded;
	}

	/**
	 * Decodes evidence.
	 * @param encoded the evidence as received
	 * @return the evidence, empty if a member is missing or unknown to this version
	 */
	static Optional<Evidence> decode(CrashEvidence encoded) {
		if (encoded.getCrash() == null || encoded.getSubject() == null || encoded.getKind() == null
				|| encoded.getState() == null) {
			return Optional.empty();
		}
		Subject subject = switch (encoded.getKind()) {
			case PROMPT_PART -> Subject.promptPart(encoded.getSubject());
			case REQUEST -> Subject.request(encoded.getSubject());
		};
		Evidence.State state = switch (encoded.getState()) {
			case SUSPECT -> Evidence.State.SUSPECT;
			case KNOWN_BEFORE -> Evidence.State.KNOWN_BEFORE;
			case CLEARED -> Evidence.State.CLEARED;
		};
		return Optional.of(new Evidence(new ServerStart(encoded.getCrash(), encoded.getStartedAtMs()), subject,
				encoded.getPosition(), state, encoded.getAgeMs()));
	}

}
