package org.medlardrum.gateway;

import java.util.Optional;

/**
 * Looks up headers by name, ignoring case.
 */
@FunctionalInterface
public interface HeaderLookup {

	/**
	 * Returns the first value of a header.
	 * @param name name of the header
	 * @return the value, empty if the header is absent
	 */
	Optional<String> first(String name);

}
