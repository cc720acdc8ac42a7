package org.medlardrum.state;

import java.util.List;

/**
 * The platform's host list at one revision. It lags behind reality.
 *
 * @param revision revision of the list, grows with each change
 * @param entryHosts entry hosts
 * @param backendServers backend servers
 */
public record HostDirectory(long revision, List<Host> entryHosts, List<BackendServer> backendServers) {

	/** A directory with no hosts, older than any listed one. */
	public static final HostDirectory EMPTY = new HostDirectory(0, List.of(), List.of());

	public HostDirectory {
		entryHosts = (entryHosts != null) ? List.copyOf(entryHosts) : List.of();
		backendServers = (backendServers != null) ? List.copyOf(backendServers) : List.of();
	}

}
