/**
 * Decisions about a pool of model engines that each hold a range of layers: where layers
 * are placed, which chain a request takes, and when it is refused. All decisions are
 * pure: they read a snapshot and return a value.
 */
package org.medlardrum.decisions.pool;
