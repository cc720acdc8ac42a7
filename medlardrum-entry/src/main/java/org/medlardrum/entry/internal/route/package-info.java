/**
 * Lookup of organisations and routes in the configuration, and digests of requests.
 */
package org.medlardrum.entry.internal.route;
