/**
 * At-most-once execution of non-idempotent requests: claims on idempotency keys, kept in
 * the platform's store in 64 buckets of append-only segments.
 */
package org.medlardrum.coordination.claims;
