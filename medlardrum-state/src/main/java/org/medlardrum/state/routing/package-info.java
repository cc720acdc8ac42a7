/**
 * Routes, services and backend servers as the operator's configuration and the service
 * registry describe them. All types are immutable.
 */
package org.medlardrum.state.routing;
