/**
 * Messages and codecs: caller API, problem documents, engine API and platform API.
 */
package org.medlardrum.protocol;
