package org.medlardrum.gateway.internal.request;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.medlardrum.gateway.internal.call.BackendCall;
import org.medlardrum.gateway.internal.call.BackendRequest;
import org.medlardrum.gateway.internal.call.Signal;
import org.medlardrum.gateway.internal.state.GatewayState;
import org.medlardrum.state.routing.ServiceInstance;

/**
 * Finds out when a host that was cut off reaches the servers again. It connects to one
 * random server at a time and sends nothing; after a success it goes on to the next one
 * without delay. Requests return as servers are reached.
 */
public final class LinkProbe {

	/** Time between two connections as long as they fail. */
	private static final long INTERVAL_MS = 250;

	private final RequestDependencies dependencies;

	private final AtomicBoolean running = new AtomicBoolean();

	/**
	 * Creates a probe that is not running.
	 * @param dependencies settings, state and shared objects
	 */
	public LinkProbe(RequestDependencies dependencies) {
		this.dependencies = dependencies;
	}

	/**
	 * Begins to probe until this host is no longer cut off.
	 */
	public void begin() {
		if (this.running.compareAndSet(false, true)) {
			schedule();
		}
	}

	private void schedule() {
		this.dependencies.executor().schedule(this::step, INTERVAL_MS, TimeUnit.MILLISECONDS);
	}

	private void step() {
		GatewayState state = this.dependencies.state();
		List<ServiceInstance> servers = state.fleet()
			.all()
			.stream()
			.filter((server) -> this.dependencies.permits().mayReceive(server.id()))
			.toList();
		if (!state.isCutOff()) {
			this.running.set(false);
			return;
		}
		if (servers.isEmpty()) {
			schedule();
			return;
		}
		ServiceInstance server = servers.get(this.dependencies.random().nextInt(servers.size()));
		BackendCall.send(this.dependencies.clients(),
				new BackendRequest(server.address(), "GET", "/", () -> false, Optional::empty, new byte[0]),
				(signal) -> onSignal(server, signal));
	}

	private void onSignal(ServiceInstance server, Signal signal) {
		if (signal instanceof Signal.Failed) {
			this.dependencies.state().recordUnreachable(server.id());
			schedule();
		}
		else {
			this.dependencies.state().recordReached(server.id());
			this.dependencies.state().clearSuspicion(this.dependencies.settings().availabilityZone(), server.id());
			step();
		}
	}

}
