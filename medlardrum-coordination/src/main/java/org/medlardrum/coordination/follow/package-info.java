/**
 * Follows the platform's store.
 */
package org.medlardrum.coordination.follow;
