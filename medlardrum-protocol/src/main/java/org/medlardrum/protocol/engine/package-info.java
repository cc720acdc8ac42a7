/**
 * Messages of the model engines' HTTP API.
 */
package org.medlardrum.protocol.engine;
