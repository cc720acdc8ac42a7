/**
 * Commands of the command line for operators, and the clients that they use.
 */
package org.medlardrum.cli.internal;
