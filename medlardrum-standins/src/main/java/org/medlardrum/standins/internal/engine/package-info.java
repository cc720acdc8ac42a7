/**
 * Components of the engine stand-in, which simulates one model engine of a chain.
 */
package org.medlardrum.standins.internal.engine;
