/**
 * Model requests: choice of chains, attempts, resumption and streaming.
 */
package org.medlardrum.entry.internal.model;
