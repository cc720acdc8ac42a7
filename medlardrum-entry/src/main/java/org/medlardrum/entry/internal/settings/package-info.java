/**
 * Settings of the process from flags and environment variables.
 */
package org.medlardrum.entry.internal.settings;
