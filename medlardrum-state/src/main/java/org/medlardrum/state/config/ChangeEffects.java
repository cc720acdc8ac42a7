package org.medlardrum.state.config;

import java.util.ArrayList;
import java.util.List;

/**
 * Describes what a change of a member means for callers, as documented in the
 * configuration reference.
 */
final class ChangeEffects {

	private ChangeEffects() {
	}

	static String ofRemoval(String section) {
		return switch (section) {
			case "routes" -> "its requests are refused, unless another route matches them";
			case "organisations" -> "requests with its keys are refused, unless another organisation has them";
			case "models" -> "callers can no longer request it";
			case "pools" -> "its backend servers get no more requests";
			case "placements" -> "the engine gets no more orders to load a model";
			default -> "no longer in force";
		};
	}

	static String ofAddition(Record entry) {
		return switch (entry) {
			case RouteConfig route when route.kind() == RouteKind.MODEL ->
				"callers can use it as model; rank " + route.rank().wireName() + ", for " + organisations(route);
			case RouteConfig route -> "takes " + route.method() + " requests below " + route.pathPrefix()
					+ ", also from routes with a shorter prefix; rank " + route.rank().wireName() + ", for "
					+ organisations(route);
			case OrganisationConfig organisation ->
				"requests with its " + organisation.keySha256().size() + " key(s) are accepted where routes allow it";
			case PlacementConfig placement -> "the engine is ordered to hold model " + placement.model();
			default -> "callers reach it through routes only";
		};
	}

	/**
	 * Describes a changed member.
	 * @param section top-level member, for example {@code routes}
	 * @param member name of the member
	 * @param before old value
	 * @param after new value
	 * @return old and new value and the effect
	 */
	static String ofMember(String section, String member, Object before, Object after) {
		if (before instanceof List<?> oldItems && after instanceof List<?> newItems) {
			return ofList(member, oldItems, newItems);
		}
		return before + " -> " + after + ": " + effect(section, member, after);
	}

	private static String ofList(String member, List<?> before, List<?> after) {
		List<String> parts = new ArrayList<>();
		List<?> removed = before.stream().filter((item) -> !after.contains(item)).toList();
		List<?> added = after.stream().filter((item) -> !before.contains(item)).toList();
		switch (member) {
			case "keySha256" -> {
				addPart(parts, removed, removed.size()
						+ " key(s) removed, requests with them are refused, unless another organisation has them");
				addPart(parts, added, added.size() + " key(s) added, requests with them are accepted");
			}
			case "organisations" -> {
				// From or to *, the set of organisations that lose access is not the
				// difference of the lists.
				if (before.contains("*")) {
					parts.add("was open to all organisations, now only " + after + " may use the route");
				}
				else if (after.contains("*")) {
					parts.add("all organisations may now use the route");
				}
				else {
					addPart(parts, removed, removed + " may no longer use the route");
					addPart(parts, added, added + " may now use the route");
				}
			}
			default -> {
				addPart(parts, removed, removed + " removed, requests that need them go to other engines");
				addPart(parts, added, added + " added, the engine loads them");
			}
		}
		return parts.isEmpty() ? "other order or repetitions, no effect on callers" : String.join("; ", parts);
	}

	private static void addPart(List<String> parts, List<?> items, String part) {
		if (!items.isEmpty()) {
			parts.add(part);
		}
	}

	private static String effect(String section, String member, Object value) {
		return switch (section + "/" + member) {
			case "models/layers" -> "chains of engines must cover " + value + " layers";
			case "models/pool" -> "requests go to engines of this pool";
			case "models/version" -> value.equals(ConfigDifferences.NONE) ? "engines of any version get requests"
					: "only engines that hold this version get requests";
			case "pools/kind" -> "the members serve the other kind of route";
			case "pools/maxInFlightPerServer" ->
				"each server of the pool gets at most " + value + " requests at a time";
			case "organisations/weight" -> "its share of a pool relative to other organisations changes";
			case "organisations/maxInFlight" -> value.equals(0) ? "no limit of requests at a time"
					: "an entry host refuses its requests above " + value + " at a time";
			case "routes/kind" -> "requests are matched and answered in another way";
			case "routes/rank" -> "requests have the targets, floor and longest wait of rank " + value;
			case "routes/timeoutMs" -> "a request that is not complete after " + value + " ms fails";
			case "routes/idempotent" -> value.equals(true) ? "a request may run more than once"
					: "a request runs at most once, so fewer failures are retried";
			case "routes/model" -> "responses come from model " + value;
			case "routes/adapter" -> value.equals(ConfigDifferences.NONE) ? "the model runs without adapter"
					: "the model runs with adapter " + value;
			case "routes/maxTokens" -> "a response has at most " + value + " tokens";
			case "routes/pool" -> "requests go to servers of pool " + value;
			case "routes/method" ->
				"the route takes " + value + " requests only; others are refused, unless another " + "route matches";
			case "routes/pathPrefix" -> "requests below the old prefix are refused, unless another route matches";
			case "ranks/floorShare" -> "share of a pool that the rank keeps during a flood of another rank";
			case "ranks/firstTokenTargetMs", "ranks/betweenTokensTargetMs" ->
				"target that requests of the rank are measured against";
			case "ranks/maxQueueMs" ->
				"requests of the rank with a longer expected wait than " + value + " ms are refused";
			case "ranks/objective" -> "changes the error budget, no effect on callers";
			case "limits/retryBudgetShare" ->
				"retries as a share of first attempts; with fewer, more failures reach " + "callers";
			case "limits/maxAttempts" -> "a request has at most " + value + " attempts";
			case "limits/quarantineMs" -> "a request that crashes servers is refused for " + value + " ms";
			case "limits/claimRetentionMs" -> "a repeated idempotency key is recognised for " + value + " ms";
			case "limits/maxBodyBytes" -> "requests with a body above " + value + " bytes are refused";
			case "limits/slowStartMs" -> "a joining server has its full share after " + value + " ms";
			case "weightStore/loadsPerMinute" -> "engines load weights sooner or later, no direct effect on callers";
			default -> "the engine is ordered into the new state and may load weights first";
		};
	}

	private static String organisations(RouteConfig route) {
		return route.organisations().contains("*") ? "all organisations"
				: route.organisations().size() + " organisation(s)";
	}

}
