/**
 * Classes shared by the packages of the coordination layer.
 */
package org.medlardrum.coordination.internal;
