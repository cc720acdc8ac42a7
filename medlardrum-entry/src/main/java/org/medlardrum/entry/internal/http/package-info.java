/**
 * HTTP interfaces for callers and for operators.
 */
package org.medlardrum.entry.internal.http;
