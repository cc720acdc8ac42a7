package org.medlardrum.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Names and formats of the headers and documents that callers and backend servers use. An
 * implementation adapts the gateway to one wire format.
 */
public interface RequestDialect {

	/**
	 * Reads the headers of a caller's request.
	 * @param headers the headers
	 * @return the attributes of the request
	 */
	CallerAttributes parseAttributes(HeaderLookup headers);

	/**
	 * Returns the headers of a request to a backend server.
	 * @param callerHeaders alternating names and values of the caller's headers
	 * @param plan parameters of the attempt
	 * @return alternating names and values
	 */
	List<String> forwardHeaders(List<String> callerHeaders, ForwardPlan plan);

	/**
	 * Returns the headers of a request that is passed on to another entry host, which
	 * admits it as if it came from the caller.
	 * @param callerHeaders alternating names and values of the caller's headers
	 * @param remainingMs time in milliseconds until the deadline
	 * @param lastEventId identifier of the last event the caller has received, negative
	 * for none
	 * @return alternating names and values
	 */
	List<String> relayHeaders(List<String> callerHeaders, long remainingMs, long lastEventId);

	/**
	 * Checks the status and headers of a backend server's response.
	 * @param requestId identifier of the request that was sent
	 * @param status status of the response
	 * @param headers headers of the response
	 * @return the result of the check
	 */
	BackendVerdict checkResponse(String requestId, int status, HeaderLookup headers);

	/**
	 * Returns the limit of requests that a backend server names in a response.
	 * @param headers headers of the response
	 * @return requests per second that the server accepts from all hosts together, empty
	 * if it names no limit or none that can be read
	 */
	OptionalDouble requestLimitPerS(HeaderLookup headers);

	/**
	 * Returns what a backend server says about itself in a response.
	 * @param status status of the response
	 * @param headers headers of the response
	 * @return the notice
	 */
	ServerNotice serverNotice(int status, HeaderLookup headers);

	/**
	 * Returns the headers of a backend server's response that are passed on to the
	 * caller.
	 * @param headers alternating names and values of the server's headers
	 * @return alternating names and values
	 */
	List<String> responseHeaders(List<String> headers);

	/**
	 * Returns the path of an engine's status report.
	 * @return the path
	 */
	String reportPath();

	/**
	 * Parses an engine's status report.
	 * @param body the document
	 * @return the status, empty if the document is malformed
	 */
	Optional<EngineStatus> parseStatus(byte[] body);

}
