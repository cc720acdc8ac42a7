/**
 * Configuration model: one base document for all availability zones and an overlay for
 * each zone. Names of documents and the command line call an availability zone a site, as
 * in {@code overlay:<site>}.
 */
package org.medlardrum.state.config;
