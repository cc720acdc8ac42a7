package org.medlardrum.transport.internal;

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
			if (check.prepare(request)) {
				return limitedRequest(request).shareContextOnSubscribe();
			}
			return delegate().closeAsyncGracefully()
				.concat(Single.<StreamingHttpResponse>failed(new RequestWithheldException()))
				.shareContextOnSubscribe();
		});
	}

	private Single<StreamingHttpResponse> limitedRequest(StreamingHttpRequest request) {
		UndecodedBytesLimit limit = UndecodedBytesLimit.install(connectionContext());
		return delegate().request(request).map((response) -> {
			limit.recordDecoded();
			return response.transformPayloadBody((body) -> body.beforeOnNext((part) -> limit.recordDecoded()));
		});
	}

}
