/**
 * Stand-ins for the systems around the router (the platform, model engines and plain
 * services), a load generator and simulations, for tests and demonstrations.
 */
package org.medlardrum.standins;
