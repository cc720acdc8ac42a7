/**
 * Parts of the engine stand-in.
 */
package org.medlardrum.standins.internal.engine;
