/**
 * Entry host process: the main class, which reads the settings and runs the host.
 */
package org.medlardrum.entry;
