/**
 * Configuration model: one base document for all sites and an overlay for each
 * availability zone.
 */
package org.medlardrum.state.config;
