/**
 * Shared data: hosts, backend servers, ranks, outcomes and the snapshots that decisions
 * are made from. Contains no I/O.
 */
package org.medlardrum.state;
