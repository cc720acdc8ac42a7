/**
 * The log of configuration changes in the platform's store: the writer, used by the
 * operators' command line, and the reader in each entry host.
 */
package org.medlardrum.coordination.config;
