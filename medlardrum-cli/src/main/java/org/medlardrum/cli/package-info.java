/**
 * The operators' command line.
 */
package org.medlardrum.cli;
