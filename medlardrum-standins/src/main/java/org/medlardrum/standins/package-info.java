/**
 * Stand-ins for the outside systems of a fleet (the platform, model engines and plain
 * services) and a load command, for tests and demonstrations.
 */
package org.medlardrum.standins;
