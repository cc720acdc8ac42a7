package org.medlardrum.cli.internal;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import com.google.gson.JsonObject;

/**
 * The entry hosts at a list of admin addresses. Calls to all of them run concurrently.
 */
final class Fleet {

	private final Session session;

	private final List<String> addresses;

	private final long timeoutMs;

	Fleet(Session session, List<String> addresses, long timeoutMs) {
		this.session = session;
		this.addresses = List.copyOf(addresses);
		this.timeoutMs = timeoutMs;
	}

	List<String> addresses() {
		return this.addresses;
	}

	AdminResponse call(String address, String method, String target) {
		return this.session.admin().call(address, method, target, this.timeoutMs);
	}

	Map<String, AdminResponse> callAll(String method, String target) {
		Map<String, Future<AdminResponse>> pending = new LinkedHashMap<>();
		Map<String, AdminResponse> responses = new LinkedHashMap<>();
		try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
			this.addresses
				.forEach((address) -> pending.put(address, threads.submit(() -> call(address, method, target))));
			pending.forEach((address, future) -> responses.put(address, join(future)));
		}
		return responses;
	}

	List<HostStatus> statuses() {
		List<HostStatus> statuses = new ArrayList<>();
		callAll("GET", "/status").forEach((address,
				response) -> statuses.add(response.jsonObject()
					.map((json) -> new HostStatus(address, json, ""))
					.orElseGet(() -> new HostStatus(address, new JsonObject(), describe(response)))));
		return statuses;
	}

	private static String describe(AdminResponse response) {
		return response.isOk() ? "the response is not a JSON object" : response.describe();
	}

	private static AdminResponse join(Future<AdminResponse> future) {
		try {
			return future.get();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return AdminResponse.unreachable("interrupted");
		}
		catch (ExecutionException ex) {
			return AdminResponse.unreachable(String.valueOf(ex.getCause()));
		}
	}

}
