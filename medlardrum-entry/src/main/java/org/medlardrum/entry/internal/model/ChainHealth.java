package org.medlardrum.entry.internal.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

import org.medlardrum.entry.internal.fleet.CrashDetector;
import org.medlardrum.entry.internal.fleet.FleetView;
import org.medlardrum.state.Chain;
import org.medlardrum.state.Stage;

/**
 * Health of the engines of a chain that sends nothing.
 *
 * @param servers the engines of the chain
 * @param unresponsive the engines that did not respond or have crashed
 * @param crashed whether an engine has crashed
 */
record ChainHealth(Set<String> servers, Set<String> unresponsive, boolean crashed) {

	/**
	 * Probes all engines of a chain at once and records those that do not respond.
	 * @param dependencies dependencies of the request
	 * @param chain the chain
	 * @param view state of the engines when the attempt started
	 * @return the health of the chain
	 */
	static ChainHealth probe(ModelDependencies dependencies, Chain chain, FleetView view) {
		Set<String> servers = chain.stages().stream().map(Stage::server).collect(Collectors.toUnmodifiableSet());
		Map<String, CrashDetector.Health> healthByServer = new ConcurrentHashMap<>();
		List<Thread> probes = new ArrayList<>();
		for (String server : servers) {
			probes.add(Thread.ofVirtual()
				.name("probe")
				.start(() -> healthByServer.put(server, dependencies.crashDetector().probe(view.engine(server)))));
		}
		for (Thread probe : probes) {
			joinUninterruptibly(probe);
		}
		Set<String> unresponsive = servers.stream()
			.filter((server) -> healthByServer.get(server) != CrashDetector.Health.ALIVE)
			.collect(Collectors.toUnmodifiableSet());
		unresponsive.forEach((server) -> dependencies.fleet().recordResult(server, false));
		return new ChainHealth(servers, unresponsive, healthByServer.containsValue(CrashDetector.Health.CRASHED));
	}

	/**
	 * Returns the engines that a successor of the chain's attempt avoids. When all
	 * respond, a link may have failed, and the whole chain is avoided.
	 * @return the engines to avoid
	 */
	Set<String> avoided() {
		return (this.unresponsive.isEmpty()) ? this.servers : this.unresponsive;
	}

	private static void joinUninterruptibly(Thread thread) {
		boolean interrupted = false;
		while (thread.isAlive()) {
			try {
				thread.join();
			}
			catch (InterruptedException ex) {
				interrupted = true;
			}
		}
		if (interrupted) {
			Thread.currentThread().interrupt();
		}
	}

}
