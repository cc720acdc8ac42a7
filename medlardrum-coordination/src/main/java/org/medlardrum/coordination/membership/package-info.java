/**
 * Hosts and backend servers that exist, and which of them are alive or leaving.
 */
package org.medlardrum.coordination.membership;
