package org.medlardrum.state.routing;

/**
 * One start of a server. A server that starts again may keep its identifier and its
 * address, but nothing that was learned of an earlier start holds for it.
 *
 * @param server identifier of the server
 * @param startedAtMs its start, in milliseconds since the Unix epoch, 0 if unknown
 */
public record ServerStart(String server, long startedAtMs) {

	/**
	 * Returns the start that a report describes.
	 * @param report the report
	 * @return the start
	 */
	public static ServerStart of(ServiceInstance report) {
		return new ServerStart(report.id(), report.startedAtMs());
	}

	/**
	 * Returns whether it is known when the server started.
	 * @return {@code false} if this may be any start of the server
	 */
	public boolean isKnown() {
		return this.startedAtMs > 0;
	}

}
