/**
 * Orders to engines from one issuer at a time, guarded by a lease in the platform's
 * store.
 */
package org.medlardrum.coordination.orders;
