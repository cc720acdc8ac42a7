/**
 * HTTP/1.1 server with limits on bodies, headers, connections, idle connections and slow
 * peers. Each request runs on a virtual thread.
 */
package org.medlardrum.transport.server;
