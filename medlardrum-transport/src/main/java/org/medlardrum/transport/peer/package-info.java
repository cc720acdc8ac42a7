/**
 * Network between entry hosts: digests in UDP datagrams, and requests and responses as
 * framed Thrift compact unions over TCP.
 */
package org.medlardrum.transport.peer;
