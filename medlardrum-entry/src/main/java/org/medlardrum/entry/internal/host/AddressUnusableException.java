package org.medlardrum.entry.internal.host;

/**
 * An address of the settings cannot be listened on, for example because its port is in
 * use.
 */
public final class AddressUnusableException extends Exception {

	AddressUnusableException(String flag, String address, Exception cause) {
		super(flag + ": cannot listen on " + address + ": " + cause.getMessage(), cause);
	}

}
