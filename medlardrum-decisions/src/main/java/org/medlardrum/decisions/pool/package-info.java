/**
 * Decisions about a pool of model engines that each hold a range of layers: where layers
 * are placed, which chain a request takes, when it is refused, and when its stream counts
 * as stalled. All decisions are free of I/O; placement and chain search are pure
 * functions of a snapshot.
 */
package org.medlardrum.decisions.pool;
