/**
 * At-most-once execution of non-idempotent requests. A host claims the idempotency key of
 * a request before it sends the request; claims are kept in the platform's store, in 64
 * buckets of append-only segments.
 */
package org.medlardrum.coordination.claims;
