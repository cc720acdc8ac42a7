/**
 * Gateway that forwards requests to backend servers by the routes of the operator's
 * configuration and passes bodies through unchanged.
 * {@link org.medlardrum.gateway.Gateway} is the entry class; the names and formats of
 * headers and documents come from a {@link org.medlardrum.gateway.RequestDialect}.
 */
package org.medlardrum.gateway;
