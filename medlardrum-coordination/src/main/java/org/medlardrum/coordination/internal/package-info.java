/**
 * Parts shared by the threads of the coordination layer. Not for use by other modules.
 */
package org.medlardrum.coordination.internal;
