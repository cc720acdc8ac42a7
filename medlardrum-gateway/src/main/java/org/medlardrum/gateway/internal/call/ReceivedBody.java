package org.medlardrum.gateway.internal.call;

import java.util.ArrayList;
import java.util.List;

import org.medlardrum.decisions.memory.HeldBytes;

/**
 * Body of a response as far as it was received, in the parts in which it arrived. Its
 * bytes count towards the budget of the host until it is closed. Confined to the event
 * loop.
 */
public final class ReceivedBody implements AutoCloseable {

	private final HeldBytes held;

	private final List<byte[]> parts = new ArrayList<>();

	private int sizeBytes;

	/**
	 * Creates an empty body.
	 * @param held counts the bytes
	 */
	public ReceivedBody(HeldBytes held) {
		this.held = held;
	}

	/**
	 * Adds a part.
	 * @param part the part, not copied
	 */
	public void add(byte[] part) {
		this.parts.add(part);
		this.sizeBytes += part.length;
		this.held.set(this.sizeBytes);
	}

	/**
	 * Returns the length of the body so far.
	 * @return the length in bytes
	 */
	public int sizeBytes() {
		return this.sizeBytes;
	}

	/**
	 * Returns the parts of the body.
	 * @return the parts
	 */
	public List<byte[]> parts() {
		return List.copyOf(this.parts);
	}

	/**
	 * Returns whether the body may receive more bytes.
	 * @return {@code false} if it has to wait for room in the budget
	 */
	public boolean mayGrow() {
		return this.held.mayGrow();
	}

	/**
	 * Runs an action once the body may receive more bytes, unless it is closed before.
	 * @param action the action
	 */
	public void whenMayGrow(Runnable action) {
		this.held.whenMayGrow(action);
	}

	@Override
	public void close() {
		this.parts.clear();
		this.held.close();
	}

}
