package org.medlardrum.cli.internal;

import java.math.BigDecimal;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;

/**
 * A subcommand. Its annotated fields are set from flags and environment variables.
 */
abstract class Command {

	@Parameter(names = "--json", description = "Print one JSON object instead of text")
	boolean json;

	@Parameter(names = "--help", help = true, description = "Print this help")
	boolean help;

	/**
	 * Runs the command.
	 * @param session access to store and entry hosts
	 * @return the result
	 * @throws ParameterException if a required flag is missing or a value is not accepted
	 */
	abstract CommandResult run(Session session);

	/**
	 * Returns a command line that shows typical use.
	 * @return arguments after {@code medlardrum}
	 */
	abstract String example();

	static String environmentVariable(String flag) {
		return "MEDLARDRUM_" + flag.substring(2).toUpperCase(java.util.Locale.ROOT).replace('-', '_');
	}

	static ParameterException invalidValue(String flag, String value, String accepted) {
		String problem = value.isEmpty() ? "is missing" : "is \"" + value + "\"";
		return new ParameterException(
				flag + " (" + environmentVariable(flag) + ") " + problem + "; accepted: " + accepted);
	}

	static long wholeNumber(String flag, String value, long min, long max) {
		String accepted = "a whole number from " + min + " to " + max;
		try {
			long number = Long.parseLong(value);
			if (number >= min && number <= max) {
				return number;
			}
		}
		catch (NumberFormatException ex) {
			throw invalidValue(flag, value, accepted);
		}
		throw invalidValue(flag, value, accepted);
	}

	static double fraction(String flag, String value) {
		try {
			BigDecimal number = new BigDecimal(value);
			if (number.signum() >= 0 && number.compareTo(BigDecimal.ONE) < 0) {
				return number.doubleValue();
			}
		}
		catch (NumberFormatException ex) {
			throw invalidValue(flag, value, "a number from 0 to below 1");
		}
		throw invalidValue(flag, value, "a number from 0 to below 1");
	}

	static String address(String flag, String value) {
		if (!value.matches("(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:.]+]):\\d{1,5}")) {
			throw invalidValue(flag, value, "numeric ip:port");
		}
		return value;
	}

	static String single(List<String> values, String valueName) {
		if (values.size() != 1) {
			throw new ParameterException("expected one " + valueName + ", found " + values.size());
		}
		return values.get(0);
	}

}
