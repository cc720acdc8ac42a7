/**
 * Execution of model requests: choice of chains, attempts, failover to another chain and
 * streaming.
 */
package org.medlardrum.entry.internal.model;
