/**
 * Identification of organisations and routes.
 */
package org.medlardrum.entry.internal.route;
