package org.medlardrum.standins;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a service stand-in that does not count a repeated execution, or executes
 * a call that it refused as not run.
 */
@Timeout(60)
class ServiceStandInTests {

	private final ServiceStandIn service = new ServiceStandIn(ServiceSettings.of("registry-1"));

	private final TestHttp http = new TestHttp(this.service.address());

	@AfterEach
	void close() {
		this.service.close();
	}

	@Test
	void lostResponseIsExecutedAndARetryCountsAsTheSecondExecution() throws Exception {
		this.service.loseResponses(1);
		assertThat(book("k1", "donkey 4")).isEqualTo(TestHttp.NO_RESPONSE);
		assertThat(this.service.executions().get(0).count()).isEqualTo(1);
		assertThat(book("k1", "donkey 4")).isEqualTo(200);
		assertThat(this.service.executions()).hasSize(1);
		assertThat(this.service.executions().get(0).count()).isEqualTo(2);
		book("k2", "donkey 4");
		assertThat(this.service.executions()).hasSize(2);
	}

	@Test
	void refusalWhileLeavingIsNotExecuted() throws Exception {
		this.service.setLeaving(true);
		assertThat(book("k1", "donkey 4")).isEqualTo(503);
		assertThat(this.service.executions()).isEmpty();
	}

	@Test
	void countsSurviveACrash() throws Exception {
		book("k1", "donkey 4");
		this.http.get("/v1/load");
		String bootId = this.http.json().get("bootId").getAsString();
		this.service.crash();
		assertThat(book("k1", "donkey 4")).isEqualTo(TestHttp.NO_RESPONSE);
		this.service.restart();
		book("k1", "donkey 4");
		assertThat(this.service.executions().get(0).count()).isEqualTo(2);
		this.http.get("/v1/load");
		assertThat(this.http.json().get("bootId").getAsString()).isNotEqualTo(bootId);
	}

	private int book(String key, String body) throws InterruptedException {
		return this.http.post("/bookings", body, "Idempotency-Key", key);
	}

}
