package org.medlardrum.standins;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

import com.google.gson.Gson;
import com.google.gson.JsonObject;

/**
 * HTTP client for tests that keeps the body of the last response. Not thread-safe.
 */
class TestHttp {

	/** Returned instead of a status code if the connection fails. */
	static final int NO_RESPONSE = -1;

	private static final HttpClient CLIENT = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final String address;

	private String body = "";

	TestHttp(String address) {
		this.address = address;
	}

	int get(String target) throws InterruptedException {
		return send(target, HttpRequest.newBuilder().GET());
	}

	int put(String target, String content) throws InterruptedException {
		return send(target, HttpRequest.newBuilder().PUT(HttpRequest.BodyPublishers.ofString(content)));
	}

	int post(String target, String content, String... headers) throws InterruptedException {
		HttpRequest.Builder builder = HttpRequest.newBuilder().POST(HttpRequest.BodyPublishers.ofString(content));
		return send(target, (headers.length > 0) ? builder.headers(headers) : builder);
	}

	String body() {
		return this.body;
	}

	JsonObject json() {
		return new Gson().fromJson(this.body, JsonObject.class);
	}

	private int send(String target, HttpRequest.Builder builder) throws InterruptedException {
		HttpRequest request = builder.uri(URI.create("http://" + this.address + target)).build();
		try {
			HttpResponse<String> response = CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
			this.body = response.body();
			return response.statusCode();
		}
		catch (IOException ex) {
			this.body = "";
			return NO_RESPONSE;
		}
	}

}
