/**
 * Finds what crashes servers: parts of prompts, or whole requests. All entry hosts share
 * the same evidence and reach the same verdict without a coordinator.
 */
package org.medlardrum.decisions.crash;
