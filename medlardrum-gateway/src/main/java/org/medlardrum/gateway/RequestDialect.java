package org.medlardrum.gateway;

import java.util.List;
import java.util.Optional;

/**
 * Names and formats of the headers and documents that callers and backend servers use.
 */
public interface RequestDialect {

	/**
	 * Reads the headers of a caller's request.
	 * @param headers the headers
	 * @return what they say
	 */
	CallerAttributes parseAttributes(HeaderLookup headers);

	/**
	 * Returns the headers of an attempt at a backend server.
	 * @param callerHeaders names and values of the caller's headers in turn
	 * @param plan how the attempt is sent
	 * @return names and values in turn
	 */
	List<String> forwardHeaders(List<String> callerHeaders, ForwardPlan plan);

	/**
	 * Reads the header of a response.
	 * @param requestId identifier of the request that was sent
	 * @param status status of the response
	 * @param headers headers of the response
	 * @return what they say
	 */
	BackendVerdict checkResponse(String requestId, int status, HeaderLookup headers);

	/**
	 * Returns the headers of a response that the caller gets.
	 * @param headers names and values of the server's headers in turn
	 * @return names and values in turn
	 */
	List<String> responseHeaders(List<String> headers);

	/**
	 * Returns the path at which an engine reports on itself.
	 * @return the path
	 */
	String reportPath();

	/**
	 * Reads an engine's report.
	 * @param body the document
	 * @return the report, empty if it cannot be read
	 */
	Optional<EngineStatus> parseStatus(byte[] body);

}
