package org.medlardrum.coordination.internal;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a background thread that ends because one step fails.
 */
class BackgroundThreadTests {

	private static final long TIMEOUT_MS = 30_000;

	private static final List<Throwable> FAILURES = List.of(new IllegalArgumentException("odd value"),
			new StackOverflowError(), new NoClassDefFoundError("Odd"));

	@Test
	void stepIsCalledAgainAfterAFailure() throws Exception {
		AtomicInteger calls = new AtomicInteger();
		CountDownLatch calledAgain = new CountDownLatch(1);
		try (BackgroundThread thread = new BackgroundThread("test", () -> {
			int call = calls.getAndIncrement();
			if (call < FAILURES.size()) {
				throwFailure(FAILURES.get(call));
			}
			calledAgain.countDown();
			return 1;
		})) {
			thread.start();
			assertThat(calledAgain.await(TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
		}
	}

	private static void throwFailure(Throwable failure) {
		if (failure instanceof Error error) {
			throw error;
		}
		throw (RuntimeException) failure;
	}

}
