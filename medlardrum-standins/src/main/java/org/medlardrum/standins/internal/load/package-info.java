/**
 * Open-loop load generator behind the load command, with its schedule, checks and
 * statistics.
 */
package org.medlardrum.standins.internal.load;
