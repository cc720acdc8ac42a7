package org.medlardrum.transport.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import com.google.gson.Gson;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import org.medlardrum.state.BackendServer;
import org.medlardrum.state.Host;
import org.medlardrum.state.HostDirectory;
import org.tinylog.Logger;

/**
 * Decodes the host list. An entry host or backend server that cannot be decoded is
 * skipped with a warning; the others are used.
 */
public final class HostDirectoryDecoder {

	private static final Gson GSON = new Gson();

	private HostDirectoryDecoder() {
	}

	/**
	 * Decodes a host list.
	 * @param json the list
	 * @return the list without the elements that cannot be decoded
	 * @throws JsonParseException if the list as a whole cannot be decoded
	 */
	public static HostDirectory decode(JsonElement json) {
		if (!json.isJsonObject()) {
			throw new JsonParseException("The host list is not an object");
		}
		JsonObject list = json.getAsJsonObject();
		return new HostDirectory(revision(list),
				decode(list, "entryHosts", Host.class, HostDirectoryDecoder::checkHost),
				decode(list, "backendServers", BackendServer.class, HostDirectoryDecoder::checkServer));
	}

	private static long revision(JsonObject list) {
		if (!list.has("revision")) {
			return 0;
		}
		try {
			return list.get("revision").getAsBigDecimal().longValueExact();
		}
		catch (ArithmeticException | IllegalStateException | NumberFormatException | UnsupportedOperationException ex) {
			throw new JsonParseException("'revision' is not a whole number", ex);
		}
	}

	private static <T> List<T> decode(JsonObject list, String name, Class<T> type, Consumer<T> check) {
		JsonElement array = (list.has(name)) ? list.get(name) : new JsonArray();
		if (!array.isJsonArray()) {
			throw new JsonParseException("'" + name + "' is not an array");
		}
		List<T> decoded = new ArrayList<>();
		for (JsonElement element : array.getAsJsonArray()) {
			try {
				T value = GSON.fromJson(element, type);
				check.accept(value);
				decoded.add(value);
			}
			catch (JsonParseException | IllegalArgumentException ex) {
				Logger.warn("membership: element of {} skipped: {}", name, ex.getMessage());
			}
		}
		return decoded;
	}

	private static void checkHost(Host host) {
		require(host != null, "element", host);
		require(host.id() != null && host.availabilityZone() != null && host.state() != null,
				"id, availabilityZone or state", host);
		require(host.peerAddress() != null, "peerAddress", host);
		Addresses.parseRemote(host.peerAddress());
	}

	private static void checkServer(BackendServer server) {
		require(server != null, "element", server);
		require(server.id() != null && server.availabilityZone() != null && server.pool() != null
				&& server.kind() != null && server.state() != null, "id, availabilityZone, pool, kind or state",
				server);
		require(server.address() != null, "address", server);
		Addresses.parseRemote(server.address());
	}

	private static void require(boolean condition, String fields, Object element) {
		if (!condition) {
			throw new JsonParseException(fields + " missing or unknown in " + element);
		}
	}

}
