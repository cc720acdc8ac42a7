package org.medlardrum.coordination;

import java.util.ArrayList;
import java.util.List;

import org.medlardrum.state.Host;
import org.medlardrum.state.HostDirectory;
import org.medlardrum.state.HostState;

/**
 * Host lists for tests.
 */
public final class TestHosts {

	private TestHosts() {
	}

	/**
	 * Creates a live host.
	 * @param index index of the host
	 * @param zones number of availability zones
	 * @return the host {@code entry-<index>} in zone {@code zone-<index modulo zones>}
	 */
	public static Host host(int index, int zones) {
		String address = "127.0.0.1:" + (10_000 + index);
		return new Host("entry-" + index, "zone-" + index % zones, address, address, address, HostState.LIVE);
	}

	/**
	 * Creates a directory of live hosts.
	 * @param revision revision of the directory
	 * @param count number of hosts
	 * @param zones number of availability zones
	 * @return the directory
	 */
	public static HostDirectory directory(long revision, int count, int zones) {
		List<Host> hosts = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			hosts.add(host(i, zones));
		}
		return new HostDirectory(revision, hosts, List.of());
	}

}
