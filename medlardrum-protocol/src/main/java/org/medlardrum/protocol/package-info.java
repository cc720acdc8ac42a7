/**
 * Messages and codecs of the caller API, the engine API and problem documents.
 */
package org.medlardrum.protocol;
