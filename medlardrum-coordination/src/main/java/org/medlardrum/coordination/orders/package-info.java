/**
 * Issues orders to engines. One host at a time does so; it holds a lease in the
 * platform's store.
 */
package org.medlardrum.coordination.orders;
