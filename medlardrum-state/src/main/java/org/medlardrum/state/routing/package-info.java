/**
 * Routes, services and backend servers from the operator's configuration and the service
 * registry. All types are immutable.
 */
package org.medlardrum.state.routing;
