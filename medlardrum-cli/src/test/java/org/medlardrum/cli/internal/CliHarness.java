package org.medlardrum.cli.internal;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import org.medlardrum.coordination.FakePlatformStore;
import org.medlardrum.state.Host;
import org.medlardrum.state.HostDirectory;
import org.medlardrum.state.HostState;
import org.medlardrum.state.ManualClock;

/**
 * Runs commands against an in-memory store and scripted entry hosts.
 */
final class CliHarness {

	static final String STORE_ADDRESS = "127.0.0.1:7000";

	final ManualClock clock = new ManualClock(1_700_000_000_000L);

	final FakePlatformStore store = new FakePlatformStore(this.clock);

	final Map<String, String> environment = new HashMap<>(Map.of("MEDLARDRUM_PLATFORM_ADDRESS", STORE_ADDRESS));

	/**
	 * Functions by the admin address of an entry host that map a request target, such as
	 * {@code /config?after=1}, to the response. A host without a function is unreachable.
	 */
	final Map<String, Function<String, AdminResponse>> responders = new LinkedHashMap<>();

	/** Calls to entry hosts in order, such as {@code POST 127.0.0.1:9001/drain}. */
	final List<String> adminCalls = new ArrayList<>();

	String out = "";

	String err = "";

	int run(String... args) {
		ByteArrayOutputStream outBytes = new ByteArrayOutputStream();
		ByteArrayOutputStream errBytes = new ByteArrayOutputStream();
		Session session = new Session((address, timeoutMs) -> this.store, this::call, this.clock, this.clock::advance);
		int code = new CommandLine(this.environment, session).run(args, new PrintStream(outBytes),
				new PrintStream(errBytes));
		this.out = outBytes.toString(StandardCharsets.UTF_8);
		this.err = errBytes.toString(StandardCharsets.UTF_8);
		return code;
	}

	JsonObject json() {
		return JsonParser.parseString(this.out).getAsJsonObject();
	}

	/**
	 * Replaces the platform's host list. The hosts get the ids {@code host-0},
	 * {@code host-1} and so on.
	 * @param addresses admin addresses of the hosts
	 */
	void setHostList(String... addresses) {
		List<Host> listed = new ArrayList<>();
		for (String address : addresses) {
			listed.add(new Host("host-" + listed.size(), "hr-central-1", "127.0.0.1:1", "127.0.0.1:2", address,
					HostState.LIVE));
		}
		this.store.setHosts(new HostDirectory(1, listed, List.of()));
	}

	private synchronized AdminResponse call(String address, String method, String target, long timeoutMs) {
		this.adminCalls.add(method + " " + address + target);
		Function<String, AdminResponse> responder = this.responders.get(address);
		return (responder != null) ? responder.apply(target) : AdminResponse.unreachable("connection refused");
	}

	static AdminResponse ok(String body) {
		return new AdminResponse(200, body, "");
	}

}
