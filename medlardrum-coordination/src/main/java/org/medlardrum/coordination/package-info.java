/**
 * What entry hosts agree on and keep: configuration, claims, membership, quarantine and
 * orders to engines. All I/O goes through the ports {@code PlatformStore} and
 * {@code PeerNetwork}.
 */
package org.medlardrum.coordination;
