/**
 * What the gateway knows of routes and backend servers.
 */
package org.medlardrum.gateway.internal.state;
