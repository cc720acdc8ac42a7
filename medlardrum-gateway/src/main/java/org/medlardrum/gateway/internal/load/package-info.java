/**
 * Outstanding load of all entry hosts at the backend servers, exchanged between the hosts
 * by gossip.
 */
package org.medlardrum.gateway.internal.load;
