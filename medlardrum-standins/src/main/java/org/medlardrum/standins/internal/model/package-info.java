/**
 * A deterministic model of a pool of model engines and of the entry hosts before it. It
 * runs the project's own decisions against replayed loads, in simulated time, so that
 * policies can be compared in seconds.
 */
package org.medlardrum.standins.internal.model;
