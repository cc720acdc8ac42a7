/**
 * Gateway that passes requests through to backend servers unchanged, by routes of the
 * operator's configuration. {@link org.medlardrum.gateway.Gateway} is the entry class;
 * the names of headers and documents come from a
 * {@link org.medlardrum.gateway.RequestDialect}.
 */
package org.medlardrum.gateway;
