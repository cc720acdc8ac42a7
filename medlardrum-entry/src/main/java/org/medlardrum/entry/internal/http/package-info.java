/**
 * Interfaces to callers and operators.
 */
package org.medlardrum.entry.internal.http;
