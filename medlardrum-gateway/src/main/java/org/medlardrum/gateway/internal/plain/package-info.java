/**
 * Execution of requests without streams to plain services, which are no model engines.
 */
package org.medlardrum.gateway.internal.plain;
