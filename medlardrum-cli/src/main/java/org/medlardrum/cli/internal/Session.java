package org.medlardrum.cli.internal;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;
import java.util.function.LongConsumer;

import org.medlardrum.coordination.PlatformStore;
import org.medlardrum.transport.HttpPlatformStore;

/**
 * Access of commands to the platform's store, the entry hosts and the clock.
 */
public final class Session implements AutoCloseable {

	/** Opens a client of the store at an address, with a timeout in milliseconds. */
	private final BiFunction<String, Long, PlatformStore> storeFactory;

	private final AdminClient admin;

	private final InstantSource clock;

	/** Sleeps for a duration in milliseconds. */
	private final LongConsumer sleepAction;

	private final List<AutoCloseable> closeables = new ArrayList<>();

	Session(BiFunction<String, Long, PlatformStore> storeFactory, AdminClient admin, InstantSource clock,
			LongConsumer sleepAction) {
		this.storeFactory = storeFactory;
		this.admin = admin;
		this.clock = clock;
		this.sleepAction = sleepAction;
	}

	/**
	 * Creates a session that uses HTTP and the system's clock.
	 * @return the session
	 */
	public static Session overHttp() {
		HttpAdminClient admin = new HttpAdminClient();
		Session session = new Session(HttpPlatformStore::new, admin, InstantSource.system(), Session::sleep);
		session.closeables.add(admin);
		return session;
	}

	/**
	 * Opens a client of the platform's store, which is closed with this session.
	 * @param address {@code ip:port}
	 * @param timeoutMs timeout of a call, in milliseconds
	 * @return the client
	 */
	PlatformStore openStore(String address, long timeoutMs) {
		PlatformStore store = this.storeFactory.apply(address, timeoutMs);
		if (store instanceof AutoCloseable closeable) {
			this.closeables.add(closeable);
		}
		return store;
	}

	AdminClient admin() {
		return this.admin;
	}

	InstantSource clock() {
		return this.clock;
	}

	void sleepMs(long durationMs) {
		this.sleepAction.accept(durationMs);
	}

	@Override
	public void close() {
		for (AutoCloseable closeable : this.closeables) {
			try {
				closeable.close();
			}
			catch (Exception ex) {
				// Ignored: the process exits next, which closes its connections.
				continue;
			}
		}
	}

	private static void sleep(long durationMs) {
		try {
			Thread.sleep(durationMs);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
