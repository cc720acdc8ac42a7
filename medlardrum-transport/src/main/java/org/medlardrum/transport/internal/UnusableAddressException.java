package org.medlardrum.transport.internal;

/**
 * Thrown for an address to which no request can be sent. Nothing was sent.
 */
public final class UnusableAddressException extends IllegalArgumentException {

	private static final long serialVersionUID = 1L;

	UnusableAddressException(IllegalArgumentException cause) {
		super(cause.getMessage(), cause);
	}

}
