package org.medlardrum.decisions.memory;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against bodies that together fill the memory of a host, and against bodies that
 * wait for room without an end. Replays a server that answers many callers with bodies
 * without end, beside a sound one.
 */
class ByteBudgetTests {

	private static final long FREE = ByteBudget.FREE_BYTES;

	private static final long PART = 64 * 1024;

	private static final long LIMIT = 40 * PART;

	/** Size at which a response is cut. */
	private static final long LARGEST = 20 * PART;

	private final Deque<Runnable> scheduled = new ArrayDeque<>();

	private final ByteBudget budget = new ByteBudget(LIMIT, this.scheduled::add);

	private static List<BytesOwner> server(String id) {
		return List.of(new BytesOwner(BytesOwner.Kind.SERVER, id), new BytesOwner(BytesOwner.Kind.SERVICE, "s"));
	}

	private HeldBytes body(String server, long bytes) {
		HeldBytes body = this.budget.open(server(server));
		body.set(bytes);
		return body;
	}

	@ParameterizedTest
	@ValueSource(longs = { 0, 1, 16 * 1024 })
	void smallBodiesNeverWait(long bytes) {
		body("a", 100 * LIMIT);
		body("a", 100 * LIMIT);
		assertThat(body("a", bytes).mayGrow()).isTrue();
		assertThat(body("b", bytes).mayGrow()).isTrue();
	}

	/**
	 * A quarter of the budget is the share of one server, and half of it of a service.
	 */
	@ParameterizedTest
	@CsvSource({ "a, a, 5, true", "a, a, 6, false", "a, b, 9, true", "a, b, 11, false" })
	void ownerHasAShare(String firstServer, String secondServer, long parts, boolean mayGrow) {
		HeldBytes first = body(firstServer, parts * PART + FREE);
		HeldBytes second = body(secondServer, parts * PART + FREE);
		assertThat(first.mayGrow()).isTrue();
		assertThat(second.mayGrow()).isEqualTo(mayGrow);
	}

	@Test
	void waitingBodyGoesOnWhenAnotherOneEnds() {
		HeldBytes first = body("a", 10 * PART + FREE);
		HeldBytes second = body("a", PART + FREE);
		List<String> resumed = new ArrayList<>();
		second.whenMayGrow(() -> resumed.add("second"));
		assertThat(this.budget.waiting()).isEqualTo(1);
		assertThat(this.scheduled).isEmpty();
		first.close();
		this.scheduled.forEach(Runnable::run);
		assertThat(resumed).containsExactly("second");
		second.close();
		assertThat(this.budget.usedBytes()).isEqualTo(0);
	}

	@Test
	void closedBodyDoesNotGoOn() {
		HeldBytes first = body("a", 10 * PART + FREE);
		HeldBytes second = body("a", PART + FREE);
		List<String> resumed = new ArrayList<>();
		second.whenMayGrow(() -> resumed.add("second"));
		first.close();
		second.close();
		second.set(PART);
		this.scheduled.forEach(Runnable::run);
		assertThat(resumed).isEmpty();
		assertThat(this.budget.usedBytes()).isEqualTo(0);
	}

	@ParameterizedTest
	@ValueSource(longs = { 0, -1 })
	void limitMustBePositive(long limitBytes) {
		String error = "";
		try {
			new ByteBudget(limitBytes, Runnable::run);
		}
		catch (IllegalArgumentException ex) {
			error = ex.getMessage();
		}
		assertThat(error).contains(Long.toString(limitBytes));
	}

	/**
	 * Each body that is read on ends at the latest at its size limit, so that all end,
	 * and no more than the budget, one body and one part of each is held.
	 */
	@Property(tries = 100)
	void allBodiesEndAndTheBudgetIsExceededByOneBodyAtMost(@ForAll long seed) {
		Random random = new Random(seed);
		Replay replay = new Replay(random, 2 + random.nextInt(60));
		replay.play();
		assertThat(replay.ended).isEqualTo(replay.count);
		assertThat(replay.budget.usedBytes()).isEqualTo(0);
		assertThat(replay.budget.waiting()).isEqualTo(0);
		assertThat(replay.budget.peakBytes()).isAtMost(LIMIT + LARGEST + replay.count * PART);
	}

	/** Bodies of several servers that receive parts in random order. */
	private static final class Replay {

		private final Random random;

		private final List<Runnable> reads = new ArrayList<>();

		private final ByteBudget budget = new ByteBudget(LIMIT, this.reads::add);

		private final int count;

		private int ended;

		Replay(Random random, int count) {
			this.random = random;
			this.count = count;
			for (int i = 0; i < count; i++) {
				HeldBytes body = this.budget.open(server("server-" + random.nextInt(3)));
				long size = (random.nextBoolean()) ? LARGEST : random.nextLong(LARGEST);
				this.reads.add(() -> read(body, 0, size));
			}
		}

		void play() {
			while (!this.reads.isEmpty()) {
				this.reads.remove(this.random.nextInt(this.reads.size())).run();
			}
		}

		private void read(HeldBytes body, long before, long size) {
			long received = Math.min(size, before + 1 + this.random.nextLong(PART));
			body.set(received);
			Runnable next = () -> read(body, received, size);
			if (received == size) {
				body.close();
				this.ended++;
			}
			else if (body.mayGrow()) {
				this.reads.add(next);
			}
			else {
				body.whenMayGrow(next);
			}
		}

	}

}
