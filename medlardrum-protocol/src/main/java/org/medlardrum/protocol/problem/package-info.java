/**
 * Problem documents (RFC 9457) of refusals and failures.
 */
package org.medlardrum.protocol.problem;
