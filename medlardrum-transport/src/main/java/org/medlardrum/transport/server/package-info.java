/**
 * HTTP/1.1 server with limits on body size, header size, connections, idle time and slow
 * peers. Each request is handled on a virtual thread.
 */
package org.medlardrum.transport.server;
