package org.medlardrum.coordination.gossip;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.medlardrum.peer.gen.Digest;
import org.medlardrum.peer.gen.Rumour;
import org.medlardrum.peer.gen.RumourKind;

/**
 * Prints the size of digests and the CPU time of an exchange in memory. An exchange is
 * building and handling two digests; encoding them for the network is measured apart.
 */
public final class GossipBenchmark {

	private static final int ROUNDS = 60;

	private GossipBenchmark() {
	}

	/**
	 * Runs the measurement for several numbers of hosts.
	 * @param args not used
	 * @throws TException if a digest cannot be encoded
	 */
	public static void main(String[] args) throws TException {
		measure(16, 10, false);
		for (int hosts : new int[] { 16, 128, 420 }) {
			measure(hosts, (hosts > 100) ? 410 : 10, true);
		}
	}

	private static void measure(int hosts, int organisations, boolean print) throws TException {
		GossipCluster cluster = new GossipCluster(hosts, (hosts > 100) ? 8 : 3, 0.01, 1);
		cluster.hosts.forEach((gossip) -> GossipTests.publish(gossip, organisations));
		for (int i = 0; i < 20; i++) {
			cluster.hosts.get(i % hosts)
				.addRumour(
						new Rumour(RumourKind.SUSPECT, "f".repeat(62) + (10 + i), cluster.clock.millis() + 600_000, 1));
		}
		cluster.round();
		cluster.keepDigests = false;
		ThreadMXBean threads = ManagementFactory.getThreadMXBean();
		long sentBefore = sent(cluster);
		long cpuNs = threads.getCurrentThreadCpuTime();
		for (int i = 0; i < ROUNDS; i++) {
			cluster.round();
		}
		cpuNs = threads.getCurrentThreadCpuTime() - cpuNs;
		long digests = sent(cluster) - sentBefore;
		cluster.keepDigests = true;
		cluster.round();
		if (print) {
			print(cluster, hosts, organisations, cpuNs, digests);
		}
	}

	private static long sent(GossipCluster cluster) {
		return cluster.hosts.stream().mapToLong((gossip) -> gossip.stats().sent()).sum();
	}

	private static void print(GossipCluster cluster, int hosts, int organisations, long cpuNs, long digests)
			throws TException {
		TSerializer serializer = new TSerializer(new TCompactProtocol.Factory());
		TDeserializer deserializer = new TDeserializer(new TCompactProtocol.Factory());
		int largest = 0;
		long total = 0;
		long codecNs = System.nanoTime();
		for (Digest digest : cluster.sent) {
			byte[] bytes = serializer.serialize(digest);
			deserializer.deserialize(new Digest(), bytes);
			largest = Math.max(largest, bytes.length);
			total += bytes.length;
		}
		codecNs = System.nanoTime() - codecNs;
		double perHostPerS = (double) digests / ROUNDS / hosts;
		double mean = (double) total / cluster.sent.size();
		System.out.printf(
				"%3d hosts, %3d organisations: digest mean %.0f B, largest %d B; %.2f digests/s sent per host,"
						+ " %.0f B/s sent and received with 28 B headers; %.0f us CPU per exchange,"
						+ " %.0f us for encoding and decoding a digest%n",
				hosts, organisations, mean, largest, perHostPerS, 2 * perHostPerS * (mean + 28),
				cpuNs / 1_000.0 / (digests / 2.0), codecNs / 1_000.0 / cluster.sent.size());
	}

}
