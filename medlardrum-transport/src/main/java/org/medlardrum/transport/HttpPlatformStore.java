package org.medlardrum.transport;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import io.servicetalk.http.api.BlockingStreamingHttpResponse;
import org.medlardrum.coordination.PlatformStore;
import org.medlardrum.coordination.StoreEntry;
import org.medlardrum.coordination.StoreLease;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.coordination.StoreVersion;
import org.medlardrum.state.HostDirectory;
import org.medlardrum.transport.internal.Failures;
import org.medlardrum.transport.internal.HostDirectoryDecoder;
import org.medlardrum.transport.internal.HttpClientPool;
import org.medlardrum.transport.internal.HttpExchange;

/**
 * Client of the key-value service that the entry host and the command line use, over
 * HTTP/1.1. The service has the paths {@code /v1/kv/}, {@code /v1/watch/},
 * {@code /v1/list}, {@code /v1/leases} and {@code /v1/hosts}; a value is sent as the
 * request body and returned as a JSON string. Safe for use by several threads. No call is
 * retried.
 *
 * <pre>
 * try (HttpPlatformStore store = new HttpPlatformStore("127.0.0.1:7000", 500)) {
 *     StoreResult&lt;StoreEntry&gt; entry = store.get("config/snapshot");
 * }
 * </pre>
 */
public final class HttpPlatformStore implements PlatformStore, AutoCloseable {

	/**
	 * Largest response body. A value has at most 1 MB, so a list of about 16 of the
	 * largest values fits; a longer list is reported as unavailable.
	 */
	private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

	private static final int OK = 200;

	private static final int NOT_MODIFIED = 304;

	private static final int NO_CONTENT = 204;

	private static final int NOT_FOUND = 404;

	private static final int CONFLICT = 409;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int SERVICE_UNAVAILABLE = 503;

	private final HttpClientPool clients;

	private final String address;

	private final long timeoutMs;

	/**
	 * Creates a client. No connection is made before the first call.
	 * @param address {@code ip:port} of the service
	 * @param timeoutMs longest time until the response header, in addition to the wait of
	 * a watch, and again until the end of the body
	 */
	public HttpPlatformStore(String address, long timeoutMs) {
		if (timeoutMs <= 0) {
			throw new IllegalArgumentException("Timeout of " + timeoutMs + " ms is not positive");
		}
		this.clients = new HttpClientPool((int) Math.min(timeoutMs, Integer.MAX_VALUE));
		this.address = address;
		this.timeoutMs = timeoutMs;
	}

	@Override
	public StoreResult<StoreEntry> get(String key) {
		return call(false, "GET", "/v1/kv/" + urlEncodePath(key), "", 0, HttpPlatformStore::entry);
	}

	@Override
	public StoreResult<StoreEntry> compareAndSet(String key, StoreVersion expected, String value, String leaseId) {
		String lease = (leaseId != null) ? "&lease=" + urlEncode(leaseId) : "";
		return call(true, "PUT",
				"/v1/kv/" + urlEncodePath(key) + "?expect=" + expected.revision() + "&era=" + expected.era() + lease,
				value, 0, HttpPlatformStore::entry);
	}

	@Override
	public StoreResult<StoreEntry> watch(String key, StoreVersion after, long waitMs) {
		return call(false, "GET", "/v1/watch/" + urlEncodePath(key) + "?after=" + after.revision() + "&era="
				+ after.era() + "&waitMs=" + waitMs, "", waitMs, HttpPlatformStore::entry);
	}

	@Override
	public StoreResult<List<StoreEntry>> list(String prefix) {
		return call(false, "GET", "/v1/list?prefix=" + urlEncode(prefix), "", 0, HttpPlatformStore::entries);
	}

	@Override
	public StoreResult<StoreLease> createLease(long ttlMs) {
		return call(true, "POST", "/v1/leases", "{\"ttlMs\":" + ttlMs + "}", 0, HttpPlatformStore::lease);
	}

	@Override
	public StoreResult<StoreLease> renewLease(String leaseId) {
		return call(true, "POST", "/v1/leases/" + urlEncodePath(leaseId) + "/renew", "", 0, HttpPlatformStore::lease);
	}

	@Override
	public StoreResult<HostDirectory> hosts(long afterRevision, long waitMs) {
		return call(false, "GET", "/v1/hosts?after=" + afterRevision + "&waitMs=" + waitMs, "", waitMs,
				HostDirectoryDecoder::decode);
	}

	@Override
	public void close() {
		this.clients.close();
	}

	private <T> StoreResult<T> call(boolean write, String method, String target, String body, long waitMs,
			Function<JsonElement, T> decoder) {
		try {
			List<String> headers = (body.isEmpty()) ? List.of() : List.of("Content-Type", "application/json");
			BlockingStreamingHttpResponse response = HttpExchange.send(this.clients.client(this.address), method,
					target, headers, body.getBytes(StandardCharsets.UTF_8), this.timeoutMs + waitMs);
			byte[] bytes = HttpExchange.readBody(response, MAX_RESPONSE_BYTES, this.timeoutMs);
			return decode(write, response.status().code(), new String(bytes, StandardCharsets.UTF_8), decoder);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return (write) ? new StoreResult.Unknown<>("interrupted") : new StoreResult.Unavailable<>("interrupted");
		}
		catch (Exception ex) {
			if (ex instanceof TimeoutException) {
				this.clients.replaceConnections();
			}
			String reason = Failures.describe(ex);
			return (write && !Failures.isNotSent(ex)) ? new StoreResult.Unknown<>(reason)
					: new StoreResult.Unavailable<>(reason);
		}
	}

	private static <T> StoreResult<T> decode(boolean write, int status, String body, Function<JsonElement, T> decoder) {
		return switch (status) {
			case OK -> new StoreResult.Ok<>(decoder.apply(parse(body)));
			case NO_CONTENT, NOT_MODIFIED, NOT_FOUND -> new StoreResult.NotFound<>();
			case CONFLICT -> new StoreResult.Conflict<>(conflictingEntry(body));
			case TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE -> new StoreResult.Unavailable<>("HTTP status " + status);
			default -> (write) ? new StoreResult.Unknown<>("HTTP status " + status)
					: new StoreResult.Unavailable<>("HTTP status " + status);
		};
	}

	private static JsonElement parse(String body) {
		return JsonParser.parseString(body);
	}

	private static StoreEntry conflictingEntry(String body) {
		if (body.isBlank()) {
			return null;
		}
		JsonElement json = parse(body);
		return (json.isJsonObject() && json.getAsJsonObject().has("revision")) ? entry(json) : null;
	}

	private static StoreEntry entry(JsonElement json) {
		JsonObject object = (json.isJsonObject()) ? json.getAsJsonObject() : new JsonObject();
		if (!object.has("key") || !object.has("value") || !object.has("revision")
				|| object.get("revision").getAsLong() <= 0) {
			throw new JsonParseException("Response of the store is not an entry");
		}
		return new StoreEntry(object.get("key").getAsString(), object.get("value").getAsString(),
				new StoreVersion(era(object), object.get("revision").getAsLong()));
	}

	// Accepts an array of entries, or an object that holds this array as "entries".
	private static List<StoreEntry> entries(JsonElement json) {
		JsonArray array = (json.isJsonArray()) ? json.getAsJsonArray()
				: json.getAsJsonObject().getAsJsonArray("entries");
		List<StoreEntry> entries = new ArrayList<>();
		array.forEach((element) -> entries.add(entry(element)));
		return entries;
	}

	private static StoreLease lease(JsonElement json) {
		JsonObject object = json.getAsJsonObject();
		if (!object.has("id") || !object.has("ttlMs")) {
			throw new JsonParseException("Response of the store is not a lease with id and ttlMs");
		}
		return new StoreLease(object.get("id").getAsString(), object.get("ttlMs").getAsLong(), era(object));
	}

	// A service that numbers no eras has a single one.
	private static long era(JsonObject object) {
		return (object.has("era")) ? object.get("era").getAsLong() : 0;
	}

	private static String urlEncode(String value) {
		return URLEncoder.encode(value, StandardCharsets.UTF_8);
	}

	// Percent-encodes a key or lease identifier, except for slashes.
	private static String urlEncodePath(String path) {
		return urlEncode(path).replace("+", "%20").replace("%2F", "/");
	}

}
