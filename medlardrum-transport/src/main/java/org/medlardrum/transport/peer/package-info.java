/**
 * Network between entry hosts: digests in UDP datagrams, and requests and responses over
 * TCP, as framed Thrift unions in the compact protocol.
 */
package org.medlardrum.transport.peer;
