/**
 * State of the platform stand-in.
 */
package org.medlardrum.standins.internal.platform;
