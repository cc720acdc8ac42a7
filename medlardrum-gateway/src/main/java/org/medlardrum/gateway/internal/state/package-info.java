/**
 * State of the gateway: routes, registered backend servers and suspicions.
 */
package org.medlardrum.gateway.internal.state;
