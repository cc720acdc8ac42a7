package org.medlardrum.gateway.internal.call;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.PublisherSource;
import io.servicetalk.concurrent.SingleSource;
import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.SourceAdapters;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import org.medlardrum.gateway.internal.request.HeaderList;
import org.medlardrum.transport.internal.Failures;
import org.medlardrum.transport.internal.HttpClientPool;
import org.medlardrum.transport.internal.RequestWithheldException;
import org.medlardrum.transport.internal.ResponseStatus;
import org.medlardrum.transport.internal.WriteCheck;

/**
 * One HTTP request to a backend server on its own connection. A reused connection could
 * carry a late or additional response to another request, or be closed by the server
 * while a request that must not be retried is in flight. Signals are delivered in order
 * on an event loop.
 */
public final class BackendCall implements AutoCloseable {

	private final String address;

	private final Executor executor;

	private final Consumer<Signal> sink;

	private final Runnable closeAction;

	private Cancellable pending;

	private PublisherSource.Subscription body;

	private boolean closed;

	private boolean sending = true;

	private BackendCall(String address, Executor executor, Consumer<Signal> sink, Runnable closeAction) {
		this.address = address;
		this.executor = executor;
		this.sink = sink;
		this.closeAction = closeAction;
	}

	/**
	 * Sends a request.
	 * @param clients clients by address
	 * @param request the request
	 * @param sink receives the signals; must not block
	 * @return the call
	 */
	public static BackendCall send(HttpClientPool clients, BackendRequest request, Consumer<Signal> sink) {
		return send(clients, request, sink, () -> {
		});
	}

	/**
	 * Sends a request. An address that cannot be used fails the call like a server that
	 * cannot be reached.
	 * @param clients clients by address
	 * @param request the request
	 * @param sink receives the signals; must not block
	 * @param closeAction runs once when the call is closed
	 * @return the call
	 */
	public static BackendCall send(HttpClientPool clients, BackendRequest request, Consumer<Signal> sink,
			Runnable closeAction) {
		BackendCall call = new BackendCall(request.address(), clients.executor(), sink, closeAction);
		StreamingHttpClient client;
		try {
			client = clients.client(request.address()).asStreamingClient();
		}
		catch (RuntimeException ex) {
			call.deliver(new Signal.Failed(call, true, Failures.describe(ex)));
			call.sending = false;
			return call;
		}
		StreamingHttpRequest http = client.newRequest(HttpRequestMethod.of(request.method()), request.target());
		http.context().put(HttpClientPool.WRITE_CHECK, call.writeCheck(request));
		if (request.body().length > 0) {
			http.payloadBody(Publisher.from(client.executionContext().bufferAllocator().wrap(request.body())));
		}
		SourceAdapters.toSource(client.request(http)).subscribe(call.new HeaderSubscriber());
		call.sending = false;
		return call;
	}

	private WriteCheck writeCheck(BackendRequest request) {
		return new WriteCheck() {

			@Override
			public boolean waitsOneTurn() {
				return request.waitsOneTurn().getAsBoolean();
			}

			@Override
			public boolean prepare(StreamingHttpRequest http) {
				return BackendCall.this.prepare(http, request);
			}

		};
	}

	private boolean prepare(StreamingHttpRequest http, BackendRequest request) {
		Optional<List<String>> headers = request.headers().get();
		if (headers.isEmpty()) {
			return false;
		}
		List<String> pairs = headers.get();
		for (int i = 0; i + 1 < pairs.size(); i += 2) {
			// The library has set some already, such as the host.
			http.headers().remove(pairs.get(i));
		}
		for (int i = 0; i + 1 < pairs.size(); i += 2) {
			http.addHeader(pairs.get(i), pairs.get(i + 1));
		}
		http.setHeader("connection", "close");
		if (request.body().length > 0 || !request.method().equals("GET")) {
			http.setHeader("content-length", Integer.toString(request.body().length));
		}
		deliver(new Signal.Writing(this));
		return true;
	}

	/**
	 * Returns the address of the server.
	 * @return {@code ip:port}
	 */
	public String address() {
		return this.address;
	}

	/**
	 * Requests the next part of the body after a {@link Signal.Data} was processed.
	 * Nothing is read from the connection before.
	 */
	public void requestMore() {
		PublisherSource.Subscription subscription;
		synchronized (this) {
			subscription = this.body;
		}
		if (subscription != null) {
			subscription.request(1);
		}
	}

	/**
	 * Cancels the call and closes its connection.
	 */
	@Override
	public void close() {
		Cancellable toCancel;
		synchronized (this) {
			if (this.closed) {
				return;
			}
			this.closed = true;
			toCancel = (this.body != null) ? this.body : this.pending;
		}
		this.closeAction.run();
		if (toCancel != null) {
			toCancel.cancel();
		}
	}

	private synchronized boolean isClosed() {
		return this.closed;
	}

	// A call that fails during send() must not signal before send() returns it.
	private void deliver(Signal signal) {
		if (this.sending) {
			this.executor.execute(() -> deliver(signal));
		}
		else if (!isClosed()) {
			this.sink.accept(signal);
		}
	}

	private final class HeaderSubscriber implements SingleSource.Subscriber<StreamingHttpResponse> {

		@Override
		public void onSubscribe(Cancellable cancellable) {
			synchronized (BackendCall.this) {
				if (!BackendCall.this.closed) {
					BackendCall.this.pending = cancellable;
					return;
				}
			}
			cancellable.cancel();
		}

		@Override
		public void onSuccess(StreamingHttpResponse response) {
			int status = response.status().code();
			if (!ResponseStatus.isFinal(status)) {
				deliver(new Signal.Failed(BackendCall.this, false, ResponseStatus.describeInvalid(status)));
				response.payloadBody().ignoreElements().subscribe().cancel();
				return;
			}
			deliver(new Signal.Header(BackendCall.this, status, HeaderList.of(response.headers())));
			SourceAdapters.toSource(response.payloadBody()).subscribe(new BodySubscriber());
		}

		@Override
		public void onError(Throwable failure) {
			deliver((RequestWithheldException.isCauseOf(failure)) ? new Signal.Withheld(BackendCall.this)
					: new Signal.Failed(BackendCall.this, Failures.isNotSent(failure), Failures.describe(failure)));
		}

	}

	private final class BodySubscriber implements PublisherSource.Subscriber<Buffer> {

		@Override
		public void onSubscribe(PublisherSource.Subscription subscription) {
			synchronized (BackendCall.this) {
				if (!BackendCall.this.closed) {
					BackendCall.this.body = subscription;
				}
			}
			if (isClosed()) {
				subscription.cancel();
				return;
			}
			subscription.request(1);
		}

		@Override
		public void onNext(Buffer buffer) {
			byte[] bytes = new byte[buffer.readableBytes()];
			buffer.readBytes(bytes);
			deliver(new Signal.Data(BackendCall.this, bytes));
		}

		@Override
		public void onError(Throwable failure) {
			deliver(new Signal.Failed(BackendCall.this, false, Failures.describe(failure)));
		}

		@Override
		public void onComplete() {
			deliver(new Signal.End(BackendCall.this));
		}

	}

}
