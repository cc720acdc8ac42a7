/**
 * One request while the gateway serves it.
 */
package org.medlardrum.gateway.internal.request;
