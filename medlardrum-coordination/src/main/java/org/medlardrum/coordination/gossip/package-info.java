/**
 * Exchanges configuration versions, demand and rumours between entry hosts. Each host
 * starts one exchange of digests a second.
 */
package org.medlardrum.coordination.gossip;
