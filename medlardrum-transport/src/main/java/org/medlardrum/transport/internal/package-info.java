/**
 * Shared HTTP plumbing of the transport clients.
 */
package org.medlardrum.transport.internal;
