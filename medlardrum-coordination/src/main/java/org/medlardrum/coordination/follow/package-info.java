/**
 * Keeps a confirmed copy of the keys in the platform's store.
 */
package org.medlardrum.coordination.follow;
