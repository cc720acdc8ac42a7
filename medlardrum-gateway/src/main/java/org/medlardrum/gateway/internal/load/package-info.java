/**
 * Work of all entry hosts at the backend servers, exchanged between the hosts.
 */
package org.medlardrum.gateway.internal.load;
