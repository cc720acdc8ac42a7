package org.medlardrum.gateway;

import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a request that an error of the gateway leaves without a response, and in
 * progress for ever.
 */
class InternalErrorTests {

	private static final long TIMEOUT_MS = 10_000;

	private static final String GOOD = "id: r1\r\nproof: p1\r\n";

	private GatewayFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new GatewayFixture().configured();
	}

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	private void assertNothingIsInProgress() throws InterruptedException {
		long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
		while (this.fixture.gateway().inProgress() > 0 && System.nanoTime() < endNs) {
			TimeUnit.MILLISECONDS.sleep(10);
		}
		assertThat(this.fixture.gateway().inProgress()).isEqualTo(0);
	}

	static Stream<Arguments> errors() {
		Supplier<Throwable> overflow = StackOverflowError::new;
		Supplier<Throwable> assertion = AssertionError::new;
		Supplier<Throwable> exception = IllegalStateException::new;
		return Stream.of(overflow, assertion, exception)
			.flatMap((error) -> Stream.of(Arguments.of("/unsafe/1", error), Arguments.of("/stream/1", error)));
	}

	@ParameterizedTest
	@MethodSource("errors")
	void errorInAStepIsAnswered(String path, Supplier<Throwable> error) throws Exception {
		this.fixture.responseHook.set(() -> throwUnchecked(error.get()));
		try (FakeBackend backend = new FakeBackend(FakeBackend.response(200, GOOD + "hook: 1\r\n", "done"))) {
			this.fixture.register("ledger", "s1", backend);
			this.fixture.register("pool", "e1", backend);
			assertThat(this.fixture.call("POST", path)).startsWith("HTTP/1.1 502");
			assertNothingIsInProgress();
		}
	}

	@SuppressWarnings("unchecked")
	private static <T extends Throwable> void throwUnchecked(Throwable failure) throws T {
		throw (T) failure;
	}

	@ParameterizedTest
	@CsvSource({ "/unsafe/1", "/stream/1" })
	void errorInTheHeadersOfAServerIsAnswered(String path) throws Exception {
		try (FakeBackend backend = new FakeBackend(FakeBackend.response(200, GOOD + "limit: none\r\n", "done"))) {
			this.fixture.register("ledger", "s1", backend);
			this.fixture.register("pool", "e1", backend);
			assertThat(this.fixture.call("POST", path)).startsWith("HTTP/1.1 502");
			assertNothingIsInProgress();
		}
	}

	@ParameterizedTest
	@CsvSource({ "deadline: none", "after: none" })
	void errorInTheHeadersOfACallerIsAnswered(String header) throws Exception {
		assertThat(this.fixture.callWith("GET", "/safe/1", "key: k1\r\n" + header + "\r\n")).startsWith("HTTP/1.1 50");
		assertNothingIsInProgress();
	}

}
