package org.medlardrum.entry.internal.route;

import org.medlardrum.state.config.RouteConfig;

/**
 * A named route.
 *
 * @param name name of the route
 * @param config configuration of the route
 */
public record Route(String name, RouteConfig config) {

	/**
	 * Returns whether an organisation may use the route.
	 * @param organisation name of the organisation
	 * @return {@code true} if the route lists the organisation or {@code *}
	 */
	public boolean allows(String organisation) {
		return this.config.organisations() != null
				&& (this.config.organisations().contains("*") || this.config.organisations().contains(organisation));
	}

}
