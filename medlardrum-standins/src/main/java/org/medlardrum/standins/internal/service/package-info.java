/**
 * Data types of the plain-service stand-in.
 */
package org.medlardrum.standins.internal.service;
