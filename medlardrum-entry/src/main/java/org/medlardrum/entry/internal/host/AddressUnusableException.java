package org.medlardrum.entry.internal.host;

/**
 * Thrown when the host cannot listen on an address of the settings, for example because
 * the port is in use.
 */
public final class AddressUnusableException extends Exception {

	AddressUnusableException(String flag, String address, Exception cause) {
		super(flag + ": cannot listen on " + address + ": " + cause.getMessage(), cause);
	}

}
