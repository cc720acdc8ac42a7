/**
 * Which hosts exist, which are alive and which are about to stop.
 */
package org.medlardrum.coordination.membership;
