/**
 * Messages of the chat completion API for callers.
 */
package org.medlardrum.protocol.caller;
