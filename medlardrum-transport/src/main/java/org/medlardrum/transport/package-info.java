/**
 * HTTP clients of the model engines, the plain services and the platform's key-value
 * store.
 */
package org.medlardrum.transport;
