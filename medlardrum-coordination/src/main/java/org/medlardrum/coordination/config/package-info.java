/**
 * The log of configuration changes in the platform's store: its writer, used by the
 * operators' command line, and its reader in each entry host.
 */
package org.medlardrum.coordination.config;
