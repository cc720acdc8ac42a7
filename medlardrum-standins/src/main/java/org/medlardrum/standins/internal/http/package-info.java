/**
 * HTTP server and client that the stand-ins share.
 */
package org.medlardrum.standins.internal.http;
