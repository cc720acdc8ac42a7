/**
 * Messages of the callers' chat completion interface.
 */
package org.medlardrum.protocol.caller;
