/**
 * Routing decisions as pure logic: admission to pools, chains of engines, retries,
 * circuit breakers and quarantine of requests that crash engines. The current time and
 * random sources are passed in as arguments, and nothing does I/O, so that decisions can
 * be recorded and replayed. Types are not thread-safe unless they say so; each instance
 * is confined to its owning thread.
 */
package org.medlardrum.decisions;
