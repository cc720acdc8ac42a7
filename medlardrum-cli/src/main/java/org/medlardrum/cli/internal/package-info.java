/**
 * Commands of the operators' command line.
 */
package org.medlardrum.cli.internal;
