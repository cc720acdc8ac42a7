package org.medlardrum.decisions.memory;

import java.util.List;
import java.util.Objects;

/**
 * Bytes of one body that count towards a {@link ByteBudget}.
 */
public final class HeldBytes implements AutoCloseable {

	private final ByteBudget budget;

	private final List<BytesOwner> owners;

	private long chargedBytes;

	private Runnable action = () -> {
	};

	private boolean closed;

	HeldBytes(ByteBudget budget, List<BytesOwner> owners) {
		this.budget = budget;
		this.owners = owners;
	}

	/**
	 * Records how many bytes the body has. They are in memory already, so they are never
	 * refused.
	 * @param bytes the bytes
	 */
	public void set(long bytes) {
		if (!this.closed) {
			this.budget.set(this, bytes);
		}
	}

	/**
	 * Returns whether the body may receive more bytes.
	 * @return {@code false} if the budget or the share of an owner is used up and the
	 * body is not the oldest one
	 */
	public boolean mayGrow() {
		return this.budget.mayGrow(this);
	}

	/**
	 * Runs an action once the body may receive more bytes, unless it is closed before.
	 * @param newAction the action
	 */
	public void whenMayGrow(Runnable newAction) {
		this.action = Objects.requireNonNull(newAction, "newAction");
		if (!this.closed) {
			this.budget.await(this);
		}
	}

	/**
	 * Ends the body, which holds nothing any more.
	 */
	@Override
	public void close() {
		if (!this.closed) {
			this.closed = true;
			this.budget.close(this);
		}
	}

	List<BytesOwner> owners() {
		return this.owners;
	}

	long chargedBytes() {
		return this.chargedBytes;
	}

	void setChargedBytes(long bytes) {
		this.chargedBytes = bytes;
	}

	Runnable takeAction() {
		return () -> {
			if (!this.closed) {
				this.action.run();
			}
		};
	}

}
