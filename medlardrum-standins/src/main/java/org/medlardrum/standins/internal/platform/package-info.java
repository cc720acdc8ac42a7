/**
 * State, rate limits and simulated faults of the platform stand-in.
 */
package org.medlardrum.standins.internal.platform;
