package org.medlardrum.state;

import java.util.List;

/**
 * The platform's host list at one revision. It lags behind the actual state of the hosts.
 *
 * @param revision revision of the list, increases with each change
 * @param entryHosts entry hosts
 * @param backendServers backend servers
 */
public record HostDirectory(long revision, List<Host> entryHosts, List<BackendServer> backendServers) {

	/** A directory without hosts, at a revision older than that of any host list. */
	public static final HostDirectory EMPTY = new HostDirectory(0, List.of(), List.of());

	public HostDirectory {
		entryHosts = (entryHosts != null) ? List.copyOf(entryHosts) : List.of();
		backendServers = (backendServers != null) ? List.copyOf(backendServers) : List.of();
	}

}
