/**
 * HTTP utilities shared by the clients and servers of this module.
 */
package org.medlardrum.transport.internal;
