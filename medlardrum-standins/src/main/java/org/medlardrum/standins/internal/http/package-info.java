/**
 * HTTP plumbing shared by the stand-ins.
 */
package org.medlardrum.standins.internal.http;
