/**
 * Parts of the load command.
 */
package org.medlardrum.standins.internal.load;
