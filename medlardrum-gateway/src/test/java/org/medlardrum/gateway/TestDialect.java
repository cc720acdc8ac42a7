package org.medlardrum.gateway;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

import org.medlardrum.decisions.routing.RequestedPause;

/**
 * Dialect for tests with short header names. A status report has one line
 * {@code requestId address} for each stalled request, with the address of the server that
 * it waits for.
 */
final class TestDialect implements RequestDialect {

	/** Headers of the caller that are passed on to servers. */
	private static final Set<String> FORWARDED = Set.of("id", "parts");

	/** Headers of the caller that are passed on to other hosts. */
	private static final Set<String> RELAYED = Set.of("id", "parts", "key", "host");

	private static final int PROMPT_TOKENS = 100;

	private static final int MAX_GENERATED_TOKENS = 20;

	private static final int NO_ESTIMATE = 0;

	private final Runnable responseHook;

	/**
	 * Creates a dialect.
	 * @param responseHook runs on the event loop when a response with the header
	 * {@code hook} arrives
	 */
	TestDialect(Runnable responseHook) {
		this.responseHook = responseHook;
	}

	@Override
	public CallerAttributes parseAttributes(HeaderLookup headers) {
		return new CallerAttributes(headers.first("id").orElse(""),
				headers.first("deadline").map(Long::parseLong).orElse(0L), headers.first("key"), PROMPT_TOKENS,
				MAX_GENERATED_TOKENS, NO_ESTIMATE, headers.first("after").map(Long::parseLong).orElse(-1L),
				headers.first("parts").map((parts) -> List.of(parts.split(","))).orElse(List.of()));
	}

	@Override
	public List<String> forwardHeaders(List<String> callerHeaders, ForwardPlan plan) {
		List<String> headers = new ArrayList<>(List.of("instance", plan.instanceId(), "deadline",
				Long.toString(plan.remainingMs()), "chain-length", Integer.toString(plan.chain().size())));
		for (int i = 0; i + 1 < callerHeaders.size(); i += 2) {
			if (FORWARDED.contains(callerHeaders.get(i).toLowerCase(Locale.ROOT))) {
				headers.addAll(List.of(callerHeaders.get(i), callerHeaders.get(i + 1)));
			}
		}
		plan.organisation().ifPresent((name) -> headers.addAll(List.of("organisation", name)));
		if (plan.lastEventId() >= 0) {
			headers.addAll(List.of("after", Long.toString(plan.lastEventId())));
		}
		return headers;
	}

	@Override
	public List<String> relayHeaders(List<String> callerHeaders, long remainingMs, long lastEventId) {
		List<String> headers = new ArrayList<>(List.of("deadline", Long.toString(remainingMs)));
		for (int i = 0; i + 1 < callerHeaders.size(); i += 2) {
			if (RELAYED.contains(callerHeaders.get(i).toLowerCase(Locale.ROOT))) {
				headers.addAll(List.of(callerHeaders.get(i), callerHeaders.get(i + 1)));
			}
		}
		if (lastEventId >= 0) {
			headers.addAll(List.of("after", Long.toString(lastEventId)));
		}
		return headers;
	}

	@Override
	public BackendVerdict checkResponse(String requestId, int status, HeaderLookup headers) {
		headers.first("hook").ifPresent((value) -> this.responseHook.run());
		boolean belongsToRequest = headers.first("id").equals(Optional.of(requestId));
		return new BackendVerdict(belongsToRequest, headers.first("proof").isPresent(),
				belongsToRequest && headers.first("not-run").isPresent(), headers.first("faulty"));
	}

	@Override
	public OptionalDouble requestLimitPerS(HeaderLookup headers) {
		return headers.first("limit")
			.map((limit) -> OptionalDouble.of(Double.parseDouble(limit)))
			.orElse(OptionalDouble.empty());
	}

	@Override
	public ServerNotice serverNotice(int status, HeaderLookup headers) {
		Optional<String> pause = (status == 503) ? headers.first("pause") : Optional.empty();
		return new ServerNotice(headers.first("leaving").isPresent(),
				pause.map(RequestedPause::parseSeconds).orElse(RequestedPause.NONE));
	}

	@Override
	public List<String> responseHeaders(List<String> headers) {
		List<String> kept = new ArrayList<>();
		for (int i = 0; i + 1 < headers.size(); i += 2) {
			if (headers.get(i).equalsIgnoreCase("proof") || headers.get(i).equalsIgnoreCase("id")) {
				kept.add(headers.get(i));
				kept.add(headers.get(i + 1));
			}
		}
		return kept;
	}

	@Override
	public String reportPath() {
		return "/report";
	}

	@Override
	public Optional<EngineStatus> parseStatus(byte[] body) {
		Map<String, String> awaitedServers = new HashMap<>();
		for (String line : new String(body, StandardCharsets.UTF_8).split("\n")) {
			String[] words = line.split(" ");
			if (words.length == 2) {
				awaitedServers.put(words[0], words[1]);
			}
		}
		return Optional.of(new EngineStatus(Optional.empty(), false, 0, awaitedServers));
	}

}
