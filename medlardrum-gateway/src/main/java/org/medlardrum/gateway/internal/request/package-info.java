/**
 * Requests in progress: the exchange with the caller, the shared services and the retry
 * budgets.
 */
package org.medlardrum.gateway.internal.request;
