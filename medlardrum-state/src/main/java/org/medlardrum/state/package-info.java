/**
 * Data types that the other modules share: hosts, backend servers, ranks, outcomes, and
 * snapshots as input of decisions. Contains no I/O.
 */
package org.medlardrum.state;
