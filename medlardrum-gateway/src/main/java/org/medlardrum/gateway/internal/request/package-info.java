/**
 * Requests in progress: the exchange with the caller, the objects that all requests share
 * and the retry budgets.
 */
package org.medlardrum.gateway.internal.request;
