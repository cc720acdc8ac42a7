/**
 * Deterministic simulation of a pool of model engines and its entry hosts. It runs the
 * product's routing decisions against replayed loads in simulated time, so that routing
 * policies can be compared in seconds.
 */
package org.medlardrum.standins.internal.model;
