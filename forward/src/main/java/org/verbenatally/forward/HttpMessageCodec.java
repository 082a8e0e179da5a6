package org.verbenatally.forward;

import java.time.Duration;
import java.util.Optional;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;
import org.verbenatally.core.Address;

/**
 * Translates between HTTP messages and the values that an instance decides on. Of the messages of callers and of
 * responses to them only the heads are translated; headers that no method mentions are forwarded unchanged.
 */
public interface HttpMessageCodec {

    /**
     * Reads the head of a caller's request.
     *
     * @throws IllegalArgumentException if a required header is missing or malformed; the message names it
     */
    RequestHead read(HttpServerRequest request);

    /** Replaces, in a caller's headers, those that only an instance may set. */
    void write(ForwardingMetadata metadata, MultiMap headers);

    /** Replaces, in the headers of a request that another instance is to serve, how long its caller waits. */
    void writeTimeout(Duration remaining, MultiMap headers);

    /** Reads the head of a target's response. */
    ResponseHead read(HttpClientResponse response);

    /**
     * Returns the order to copy a running generation to another engine.
     *
     * @param requestId id of the request that asked for the generation
     * @param destination engine that receives the copy
     */
    EngineOrder copyRequest(String requestId, Address destination);

    /**
     * Returns the order to stop a generation, before the rest of it is copied to another engine.
     *
     * @param requestId id of the request that asked for the generation
     * @param destination engine that receives the copy
     */
    EngineOrder stopRequest(String requestId, Address destination);

    /** Returns the order to free the memory of a copy that is not used, for the engine that made it. */
    EngineOrder releaseRequest(String copyId);

    /** Returns the id of a copy from the response to an order to copy, or empty if there is none. */
    Optional<String> readCopyResponse(int status, Buffer body);

    /**
     * Returns the id under which the engine keeps the memory of a generation that it has stopped, whether or not it was
     * copied, from the response to an order to stop; empty if it has not stopped one.
     */
    Optional<String> readStopResponse(int status, Buffer body);

    /**
     * Returns whether the status of a response to an order to copy or stop states that the engine does not run the
     * generation.
     */
    boolean isNotRunning(int orderStatus);
}
