/**
 * Exchange of demand and rumours between entry hosts, one digest a second.
 */
package org.medlardrum.coordination.gossip;
