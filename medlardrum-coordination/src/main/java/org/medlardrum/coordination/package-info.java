/**
 * State that the entry hosts share: configuration, claims, membership, quarantine and
 * orders to engines. All I/O goes through the ports {@code PlatformStore},
 * {@code ChangeFeed} and {@code PeerNetwork}.
 */
package org.medlardrum.coordination;
