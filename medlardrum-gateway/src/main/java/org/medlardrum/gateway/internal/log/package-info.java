/**
 * Structured log of decisions.
 */
package org.medlardrum.gateway.internal.log;
