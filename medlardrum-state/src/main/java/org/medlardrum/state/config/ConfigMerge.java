package org.medlardrum.state.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;

/**
 * Merges, hashes, compares and edits configuration documents.
 * <p>
 * <pre>
 * JsonObject merged = ConfigMerge.merge(documents.base(), documents.overlays().get("hr-central-1"));
 * List&lt;ConfigEdit&gt; edits = ConfigMerge.diff(before, after);
 * </pre>
 */
public final class ConfigMerge {

	/** Name of the base document in edits and faults. */
	public static final String BASE = "base";

	/**
	 * Prefix of the name of an overlay in edits and faults. The site that follows is the
	 * name of an availability zone.
	 */
	public static final String OVERLAY_PREFIX = "overlay:";

	private ConfigMerge() {
	}

	/**
	 * Merges an overlay into a base document as a JSON merge patch (RFC 7386): a member
	 * that is {@code null} in the overlay is removed, objects are merged, everything else
	 * is replaced.
	 * @param base the base document, not modified
	 * @param overlay the overlay, {@code null} for none
	 * @return the merged document
	 */
	public static JsonObject merge(JsonObject base, JsonObject overlay) {
		JsonObject merged = base.deepCopy();
		if (overlay != null) {
			mergeInto(merged, overlay);
		}
		return merged;
	}

	private static void mergeInto(JsonObject target, JsonObject patch) {
		for (Map.Entry<String, JsonElement> member : patch.entrySet()) {
			JsonElement value = member.getValue();
			if (value.isJsonNull()) {
				target.remove(member.getKey());
			}
			else if (value.isJsonObject()) {
				JsonElement current = target.get(member.getKey());
				JsonObject nested = (current != null && current.isJsonObject()) ? current.getAsJsonObject()
						: new JsonObject();
				target.add(member.getKey(), nested);
				mergeInto(nested, value.getAsJsonObject());
			}
			else {
				target.add(member.getKey(), value.deepCopy());
			}
		}
	}

	/**
	 * Returns the canonical text of a JSON value: members sorted by name, no white space,
	 * numbers without trailing zeros.
	 * @param element the value
	 * @return the canonical text
	 */
	public static String canonical(JsonElement element) {
		return CanonicalJson.write(element);
	}

	/**
	 * Returns the hash of base and overlays.
	 * @param base the base document
	 * @param overlays the overlays by availability zone
	 * @return the SHA-256 of the canonical text, in lower-case hexadecimal digits
	 */
	public static String hash(JsonObject base, Map<String, JsonObject> overlays) {
		JsonObject all = new JsonObject();
		JsonObject overlaysJson = new JsonObject();
		overlays.forEach(overlaysJson::add);
		all.add("base", base);
		all.add("overlays", overlaysJson);
		try {
			byte[] digest = MessageDigest.getInstance("SHA-256")
				.digest(canonical(all).getBytes(StandardCharsets.UTF_8));
			return HexFormat.of().formatHex(digest);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is missing, which every Java platform must provide", ex);
		}
	}

	/**
	 * Creates documents with their hash.
	 * @param version the version
	 * @param base the base document
	 * @param overlays the overlays by availability zone
	 * @return the documents
	 */
	public static ConfigDocuments documents(long version, JsonObject base, Map<String, JsonObject> overlays) {
		return new ConfigDocuments(version, hash(base, overlays), base, overlays);
	}

	/**
	 * Returns the documents before the first change: an empty base and no overlays.
	 * @return documents of version 0
	 */
	public static ConfigDocuments empty() {
		return documents(0, new JsonObject(), Map.of());
	}

	/**
	 * Compares documents at the level of named entries such as {@code /routes/report}; a
	 * changed entry is one edit.
	 * @param before documents before
	 * @param after documents after
	 * @return edits that turn the first into the second, in order of document and path
	 */
	public static List<ConfigEdit> diff(ConfigDocuments before, ConfigDocuments after) {
		List<ConfigEdit> edits = new ArrayList<>();
		diffDocument(BASE, before.base(), after.base(), edits);
		Set<String> sites = new TreeSet<>(before.overlays().keySet());
		sites.addAll(after.overlays().keySet());
		for (String site : sites) {
			JsonObject old = before.overlays().get(site);
			JsonObject updated = after.overlays().get(site);
			if (old != null && updated != null) {
				diffDocument(OVERLAY_PREFIX + site, old, updated, edits);
			}
			else {
				edits.add(new ConfigEdit(OVERLAY_PREFIX + site, "", old, updated));
			}
		}
		return edits;
	}

	private static void diffDocument(String document, JsonObject before, JsonObject after, List<ConfigEdit> edits) {
		for (String name : namesOf(before, after)) {
			JsonElement old = before.get(name);
			JsonElement updated = after.get(name);
			if (isObject(old) && isObject(updated)) {
				diffEntries(document, "/" + escape(name), old.getAsJsonObject(), updated.getAsJsonObject(), edits);
			}
			else if (!isEqual(old, updated)) {
				edits.add(new ConfigEdit(document, "/" + escape(name), old, updated));
			}
		}
	}

	private static void diffEntries(String document, String path, JsonObject before, JsonObject after,
			List<ConfigEdit> edits) {
		for (String name : namesOf(before, after)) {
			if (!isEqual(before.get(name), after.get(name))) {
				edits.add(new ConfigEdit(document, path + "/" + escape(name), before.get(name), after.get(name)));
			}
		}
	}

	private static Set<String> namesOf(JsonObject first, JsonObject second) {
		Set<String> names = new TreeSet<>(first.keySet());
		names.addAll(second.keySet());
		return names;
	}

	private static boolean isObject(JsonElement element) {
		return element != null && element.isJsonObject();
	}

	private static boolean isEqual(JsonElement first, JsonElement second) {
		if (first == null || second == null) {
			return first == second;
		}
		return canonical(first).equals(canonical(second));
	}

	/**
	 * Applies edits without checking their old values against the documents.
	 * @param documents documents to start from, not modified
	 * @param edits the edits
	 * @param version version of the result
	 * @return the edited documents with their hash
	 */
	public static ConfigDocuments apply(ConfigDocuments documents, List<ConfigEdit> edits, long version) {
		JsonObject base = documents.base().deepCopy();
		Map<String, JsonObject> overlays = new TreeMap<>();
		documents.overlays().forEach((site, overlay) -> overlays.put(site, overlay.deepCopy()));
		for (ConfigEdit edit : edits) {
			if (edit.document().equals(BASE)) {
				applyTo(base, edit);
			}
			else if (edit.document().startsWith(OVERLAY_PREFIX)) {
				applyToOverlay(overlays, edit);
			}
			else {
				throw new IllegalArgumentException("Edit names an unknown document '" + edit.document() + "'");
			}
		}
		return documents(version, base, overlays);
	}

	/**
	 * Reverts edits that {@link #diff} computed.
	 * @param documents documents after the edits, not modified
	 * @param edits the edits
	 * @param version version of the result
	 * @return the documents before the edits
	 */
	public static ConfigDocuments revert(ConfigDocuments documents, List<ConfigEdit> edits, long version) {
		return apply(documents,
				edits.stream()
					.map((edit) -> new ConfigEdit(edit.document(), edit.path(), edit.newValue(), edit.oldValue()))
					.toList(),
				version);
	}

	private static void applyToOverlay(Map<String, JsonObject> overlays, ConfigEdit edit) {
		String site = edit.document().substring(OVERLAY_PREFIX.length());
		if (!edit.path().isEmpty()) {
			applyTo(overlays.computeIfAbsent(site, (key) -> new JsonObject()), edit);
		}
		else if (edit.newValue() == null) {
			overlays.remove(site);
		}
		else {
			overlays.put(site, objectOf(edit).deepCopy());
		}
	}

	private static void applyTo(JsonObject document, ConfigEdit edit) {
		List<String> segments = segmentsOf(edit.path());
		JsonObject parent = document;
		for (String segment : segments.subList(0, segments.size() - 1)) {
			if (!isObject(parent.get(segment))) {
				parent.add(segment, new JsonObject());
			}
			parent = parent.getAsJsonObject(segment);
		}
		String last = segments.get(segments.size() - 1);
		if (edit.newValue() == null) {
			parent.remove(last);
		}
		else {
			parent.add(last, edit.newValue().deepCopy());
		}
	}

	/**
	 * Finds a member of a document.
	 * @param document the document
	 * @param path path of the member as a JSON pointer (RFC 6901), through objects only
	 * @return the member, {@code null} when it is absent
	 */
	static JsonElement find(JsonObject document, String path) {
		JsonElement element = document;
		for (String segment : segmentsOf(path)) {
			element = isObject(element) ? element.getAsJsonObject().get(segment) : null;
		}
		return element;
	}

	private static JsonObject objectOf(ConfigEdit edit) {
		if (!edit.newValue().isJsonObject()) {
			throw new IllegalArgumentException("Document '" + edit.document() + "' must be an object");
		}
		return edit.newValue().getAsJsonObject();
	}

	/**
	 * Returns whether two edits overlap: they change the same member of the same
	 * document, or one changes a member that contains the member of the other.
	 * @param first an edit
	 * @param second another edit
	 * @return {@code true} if the order of the edits matters
	 */
	public static boolean overlap(ConfigEdit first, ConfigEdit second) {
		return first.document().equals(second.document())
				&& (contains(first.path(), second.path()) || contains(second.path(), first.path()));
	}

	private static boolean contains(String outer, String inner) {
		return inner.equals(outer) || inner.startsWith(outer + "/");
	}

	private static List<String> segmentsOf(String path) {
		if (!path.startsWith("/")) {
			throw new IllegalArgumentException("Path '" + path + "' is not a JSON pointer to a member");
		}
		return Arrays.stream(path.substring(1).split("/", -1))
			.map((segment) -> segment.replace("~1", "/").replace("~0", "~"))
			.toList();
	}

	static String escape(String name) {
		return name.replace("~", "~0").replace("/", "~1");
	}

}
