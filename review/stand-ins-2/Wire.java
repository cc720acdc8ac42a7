import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;

/** Names of the platform's protocol. The repository allows them in Java sources below platform/ only. */
final class Wire {

	private static final Properties NAMES = new Properties();

	static {
		try (InputStream in = Wire.class.getResourceAsStream("wire.properties")) {
			NAMES.load(in);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/** Header with the id of a request. */
	static final String REQUEST_ID = NAMES.getProperty("requestId");

	/** Header with a worker's signature. */
	static final String STAMP = NAMES.getProperty("stamp");

	/** Beginning of the paths of the store. */
	static final String STORE_CALL = NAMES.getProperty("storeCall");

	static final String COLD = NAMES.getProperty("cold");

	static final String LISTEN = NAMES.getProperty("listen");

	static final String STORE = NAMES.getProperty("store");

	static final String KEYS = NAMES.getProperty("keys");

	private Wire() {
	}

}
