/**
 * Entry point of the command line for operators.
 */
package org.medlardrum.cli;
