package org.medlardrum.transport.internal;

import java.util.concurrent.TimeUnit;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.FilterableStreamingHttpConnection;
import io.servicetalk.http.api.StreamingHttpConnectionFilter;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;

/**
 * Runs the {@link WriteCheck} of a request once its connection is ready, and limits the
 * bytes that are no response to it. A connection whose request is withheld is closed,
 * since it would be idle otherwise. Requests with a check use a connection once.
 */
final class WriteCheckFilter extends StreamingHttpConnectionFilter {

	/** Shortest timer, which fires after the event loop has polled its channels again. */
	private static final long ONE_TURN_MS = 1;

	WriteCheckFilter(FilterableStreamingHttpConnection delegate) {
		super(delegate);
	}

	@Override
	public Single<StreamingHttpResponse> request(StreamingHttpRequest request) {
		return Single.defer(() -> {
			WriteCheck check = request.context().get(HttpClientPool.WRITE_CHECK);
			if (check == null) {
				return delegate().request(request).shareContextOnSubscribe();
			}
			if (check.waitsOneTurn()) {
				return executionContext().ioExecutor()
					.timer(ONE_TURN_MS, TimeUnit.MILLISECONDS)
					.concat(Single.defer(() -> checkedRequest(check, request)))
					.shareContextOnSubscribe();
			}
			return checkedRequest(check, request).shareContextOnSubscribe();
		});
	}

	private Single<StreamingHttpResponse> checkedRequest(WriteCheck check, StreamingHttpRequest request) {
		if (check.prepare(request)) {
			return limitedRequest(request);
		}
		return delegate().closeAsyncGracefully()
			.concat(Single.<StreamingHttpResponse>failed(new RequestWithheldException()));
	}

	private Single<StreamingHttpResponse> limitedRequest(StreamingHttpRequest request) {
		UndecodedBytesLimit.install(connectionContext());
		return delegate().request(request);
	}

}
