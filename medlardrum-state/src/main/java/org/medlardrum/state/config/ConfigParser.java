package org.medlardrum.state.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import com.google.gson.JsonObject;
import org.medlardrum.state.BackendServerKind;
import org.medlardrum.state.Rank;

/**
 * Reads a configuration from JSON, fills in defaults and reports all faults together.
 * <p>
 * <pre>
 * switch (ConfigParser.forAvailabilityZone(documents, "hr-central-1")) {
 *     case ConfigResult.Valid valid -&gt; use(valid.configuration());
 *     case ConfigResult.Invalid invalid -&gt; report(invalid.faults());
 * }
 * </pre>
 */
public final class ConfigParser {

	private static final Map<String, Rank> RANKS = byWireName(Rank.values(), Rank::wireName);

	private static final Map<String, RouteKind> ROUTE_KINDS = byWireName(RouteKind.values(),
			(kind) -> kind.name().toLowerCase(Locale.ROOT));

	private static final Map<String, BackendServerKind> SERVER_KINDS = byWireName(BackendServerKind.values(),
			(kind) -> kind.name().toLowerCase(Locale.ROOT));

	private static final Map<String, String> METHODS = byWireName(
			new String[] { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "*" }, Function.identity());

	private static final Map<String, String> ROLES = byWireName(new String[] { "prefill", "decode", "both" },
			Function.identity());

	private static final long DAY_MS = 86_400_000;

	private ConfigParser() {
	}

	/**
	 * Reads the text of one document without checking its members. Unlike
	 * {@link #parse(String)} it accepts an overlay, which is incomplete on its own.
	 * @param text the text
	 * @param faults list to which faults are added, also when a document is returned
	 * (members that appear twice)
	 * @return the document, empty when the text is not a JSON object
	 */
	public static Optional<JsonObject> parseDocument(String text, List<ConfigFault> faults) {
		return Optional.ofNullable(StrictJson.parse(text, faults));
	}

	/**
	 * Reads a configuration from the text of a merged document.
	 * @param text the text
	 * @return the configuration or its faults
	 */
	public static ConfigResult parse(String text) {
		List<ConfigFault> faults = new ArrayList<>();
		Optional<JsonObject> document = parseDocument(text, faults);
		if (document.isPresent() && parse(document.get()) instanceof ConfigResult.Invalid invalid) {
			faults.addAll(invalid.faults());
		}
		return faults.isEmpty() ? parse(document.orElseThrow()) : new ConfigResult.Invalid(faults);
	}

	/**
	 * Reads the configuration of one site, which is an availability zone.
	 * @param documents base and overlays
	 * @param availabilityZone name of the availability zone; one without overlay uses the
	 * base alone
	 * @return the configuration or its faults
	 */
	public static ConfigResult forAvailabilityZone(ConfigDocuments documents, String availabilityZone) {
		return parse(ConfigMerge.merge(documents.base(), documents.overlays().get(availabilityZone)));
	}

	/**
	 * Reads a configuration from a merged document.
	 * @param merged the document
	 * @return the configuration or its faults
	 */
	public static ConfigResult parse(JsonObject merged) {
		List<ConfigFault> faults = new ArrayList<>();
		MemberReader root = new MemberReader("", merged, faults);
		int schema = (int) root.wholeNumber("schema", null, 1, 1);
		Configuration configuration = new Configuration(schema, read(root.entries("models"), ConfigParser::model),
				read(root.entries("pools"), ConfigParser::pool),
				read(root.entries("organisations"), ConfigParser::organisation),
				read(root.entries("routes"), ConfigParser::route), ranks(root.object("ranks")),
				limits(root.object("limits")), links(root.items("links")),
				read(root.entries("placements"), ConfigParser::placement), weightStore(root.object("weightStore")));
		root.reportUnknownMembers();
		ConfigRules.check(configuration, faults);
		return faults.isEmpty() ? new ConfigResult.Valid(configuration) : new ConfigResult.Invalid(faults);
	}

	private static <T> Map<String, T> read(Map<String, MemberReader> readers, Function<MemberReader, T> read) {
		Map<String, T> values = new LinkedHashMap<>();
		readers.forEach((name, reader) -> {
			values.put(name, read.apply(reader));
			reader.reportUnknownMembers();
		});
		return Collections.unmodifiableMap(values);
	}

	private static ModelConfig model(MemberReader reader) {
		return new ModelConfig((int) reader.wholeNumber("layers", null, 1, 10_000), reader.text("pool", null),
				reader.text("version", ""));
	}

	private static PoolConfig pool(MemberReader reader) {
		BackendServerKind kind = reader.choice("kind", SERVER_KINDS, null);
		if (kind == BackendServerKind.ENGINE && reader.has("maxInFlightPerServer")) {
			reader.fault("maxInFlightPerServer", "has no effect in a pool of engines, which report their slots", "");
		}
		long maxInFlight = reader.wholeNumber("maxInFlightPerServer", 16L, 1, 100_000);
		return new PoolConfig(kind, (kind != BackendServerKind.ENGINE) ? (int) maxInFlight : 0);
	}

	private static OrganisationConfig organisation(MemberReader reader) {
		List<String> keys = reader.texts("keySha256", null);
		if (keys.stream().anyMatch((key) -> !key.matches("[0-9a-f]{64}"))) {
			reader.fault("keySha256", "contains a value that is not a SHA-256 digest",
					"64 lower-case hexadecimal digits for each key");
		}
		return new OrganisationConfig(keys, reader.number("weight", 1, 0.001, 1_000),
				(int) reader.wholeNumber("maxInFlight", 0L, 0, 1_000_000));
	}

	private static RouteConfig route(MemberReader reader) {
		RouteKind kind = reader.choice("kind", ROUTE_KINDS, null);
		Rank rank = reader.choice("rank", RANKS, null);
		List<String> organisations = reader.texts("organisations", List.of("*"));
		long timeoutMs = reader.wholeNumber("timeoutMs", 30_000L, 1, 3_600_000);
		if (kind == RouteKind.SERVICE) {
			String method = reader.choice("method", METHODS, "*");
			boolean idempotent = reader.flag("idempotent", "GET".equals(method) || "HEAD".equals(method));
			return new RouteConfig(kind, "", "", reader.text("pool", null), method, pathPrefix(reader), rank,
					organisations, idempotent, timeoutMs, 0);
		}
		if (!reader.flag("idempotent", true)) {
			reader.fault("idempotent", "is false for a model route; a generation can always run again", "true");
		}
		return new RouteConfig(kind, reader.text("model", null), reader.text("adapter", ""), "", "", "", rank,
				organisations, true, timeoutMs, (int) reader.wholeNumber("maxTokens", 1024L, 1, 1_000_000));
	}

	private static String pathPrefix(MemberReader reader) {
		String prefix = reader.text("pathPrefix", null);
		if (!prefix.isEmpty() && !prefix.startsWith("/")) {
			reader.fault("pathPrefix", "is '" + prefix + "'", "a path that starts with /");
		}
		return prefix;
	}

	private static Map<Rank, RankConfig> ranks(MemberReader reader) {
		Map<Rank, RankConfig> ranks = new EnumMap<>(Rank.class);
		ranks.put(Rank.URGENT, rank(reader.object("urgent"), 0.50, 1_100, 27, 0.99));
		ranks.put(Rank.STANDARD, rank(reader.object("standard"), 0.15, 5_000, 100, 0.95));
		ranks.put(Rank.BACKGROUND, rank(reader.object("background"), 0.05, 60_000, 500, 0.90));
		reader.reportUnknownMembers();
		return Collections.unmodifiableMap(ranks);
	}

	private static RankConfig rank(MemberReader reader, double floorShare, long firstTokenMs, long betweenTokensMs,
			double objective) {
		long firstTokenTargetMs = reader.wholeNumber("firstTokenTargetMs", firstTokenMs, 1, 3_600_000);
		// Leaves a fifth of the target for the execution of the request.
		long maxQueueMs = Math.max(1, firstTokenTargetMs * 4 / 5);
		RankConfig rank = new RankConfig(reader.number("floorShare", floorShare, 0, 1), firstTokenTargetMs,
				reader.wholeNumber("betweenTokensTargetMs", betweenTokensMs, 1, 3_600_000),
				reader.wholeNumber("maxQueueMs", maxQueueMs, 1, 3_600_000),
				reader.number("objective", objective, 0, 0.99999));
		if (rank.maxQueueMs() > firstTokenTargetMs) {
			reader.fault("maxQueueMs", "is " + rank.maxQueueMs() + ", above firstTokenTargetMs: a request accepted "
					+ "with that wait misses its target", "1 to " + firstTokenTargetMs);
		}
		reader.reportUnknownMembers();
		return rank;
	}

	private static LimitsConfig limits(MemberReader reader) {
		LimitsConfig limits = new LimitsConfig(reader.number("retryBudgetShare", 0.1, 0, 1),
				(int) reader.wholeNumber("maxAttempts", 3L, 1, 10),
				reader.wholeNumber("quarantineMs", 600_000L, 1_000, 7 * DAY_MS),
				reader.wholeNumber("claimRetentionMs", DAY_MS, 60_000, 30 * DAY_MS),
				(int) reader.wholeNumber("maxBodyBytes", 1_048_576L, 1_024, 67_108_864),
				reader.wholeNumber("slowStartMs", 10_000L, 0, 600_000));
		reader.reportUnknownMembers();
		return limits;
	}

	private static List<LinkConfig> links(Collection<MemberReader> readers) {
		List<LinkConfig> links = new ArrayList<>();
		for (MemberReader reader : readers) {
			links.add(new LinkConfig(reader.text("from", null), reader.text("to", null),
					reader.wholeNumber("latencyUs", null, 0, 10_000_000)));
			reader.reportUnknownMembers();
		}
		return List.copyOf(links);
	}

	private static PlacementConfig placement(MemberReader reader) {
		return new PlacementConfig(reader.text("model", null), reader.text("version", ""),
				reader.texts("adapters", List.of()), reader.choice("role", ROLES, "both"));
	}

	private static WeightStoreConfig weightStore(MemberReader reader) {
		WeightStoreConfig weightStore = new WeightStoreConfig(reader.number("loadsPerMinute", 6, 0.01, 10_000));
		reader.reportUnknownMembers();
		return weightStore;
	}

	private static <E> Map<String, E> byWireName(E[] values, Function<E, String> name) {
		Map<String, E> byName = new LinkedHashMap<>();
		for (E value : values) {
			byName.put(name.apply(value), value);
		}
		return byName;
	}

}
