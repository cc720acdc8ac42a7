package org.medlardrum.transport.internal;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.FilterableStreamingHttpConnection;
import io.servicetalk.http.api.StreamingHttpConnectionFilter;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;

/**
 * Runs the {@link WriteCheck} of a request once its connection is ready. A connection
 * whose request is withheld is closed, since it would be idle otherwise.
 */
final class WriteCheckFilter extends StreamingHttpConnectionFilter {

	WriteCheckFilter(FilterableStreamingHttpConnection delegate) {
		super(delegate);
	}

	@Override
	public Single<StreamingHttpResponse> request(StreamingHttpRequest request) {
		return Single.defer(() -> {
			WriteCheck check = request.context().get(HttpClientPool.WRITE_CHECK);
			if (check == null || check.prepare(request)) {
				return delegate().request(request).shareContextOnSubscribe();
			}
			return delegate().closeAsync()
				.concat(Single.<StreamingHttpResponse>failed(new RequestWithheldException()))
				.shareContextOnSubscribe();
		});
	}

}
