/**
 * Messages of the model engines' HTTP interface.
 */
package org.medlardrum.protocol.engine;
