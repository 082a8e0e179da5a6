package org.verbenatally.faults;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.verbenatally.core.Outcome;
import org.verbenatally.history.History;
import org.verbenatally.history.HistoryRecord.Response;
import org.verbenatally.history.HistoryRecord.Sent;
import org.verbenatally.history.HistoryRecord.TokenReceived;

/**
 * Sends requests as a caller of the system does and records what it receives. When the connection of a stream breaks or
 * no data arrives within the silence timeout, the stream is resumed at the next entry. A caller can send many requests
 * at the same time from different threads.
 */
final class Caller {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    /** The system sends a comment every 2 s; a caller abandons a connection after three missing comments. */
    static final int STREAM_SILENCE_TIMEOUT_MS = 6_000;

    private static final AtomicLong REQUEST_SERIAL = new AtomicLong();
    private static final int RESUME_DELAY_MS = 200;

    private final Cluster cluster;
    private final History history;
    private final int completeResponseTimeoutMs;
    private final int timeoutMs;
    private int readDelayMs;

    /**
     * Creates a caller.
     *
     * @param timeoutMs time after which it stops waiting for a response, in milliseconds
     */
    Caller(Cluster cluster, int timeoutMs) {
        this.cluster = cluster;
        this.history = cluster.history();
        this.completeResponseTimeoutMs = timeoutMs;
        this.timeoutMs = timeoutMs;
    }

    /** Makes this caller pause after each event of a stream for the given time, in milliseconds. */
    Caller withReadDelay(int delayMs) {
        readDelayMs = delayMs;
        return this;
    }

    /**
     * Requests an idempotency key from an entry.
     *
     * @return the work item with the key
     * @throws IllegalStateException if the entry issues no key
     * @throws UncheckedIOException if the connection fails
     */
    WorkItem withKey(WorkItem work, int entry) {
        try (HttpCall call = HttpCall.connect(cluster.callerAddress(entry), timeoutMs)) {
            call.exchange("POST", "/v1/keys/" + work.kind().name(), headers(work, null), new byte[0]);
            String body = call.readRemainingBody();
            if (call.status() != 201) {
                throw new IllegalStateException("no key from " + cluster.entryName(entry) + ": " + body);
            }
            return work.withKey(MAPPER.readTree(body).path("key").asText());
        } catch (IOException e) {
            throw new UncheckedIOException("no key from " + cluster.entryName(entry), e);
        }
    }

    /**
     * Sends one copy of a work item, resumes its stream when the connection breaks, and returns the recorded response.
     * If an entry refuses the connection, the next entry is tried, as a load balancer would.
     */
    Response send(WorkItem work, int entry) {
        String requestId = "r" + REQUEST_SERIAL.incrementAndGet();
        RequestState state = new RequestState(requestId, System.currentTimeMillis() + timeoutMs);
        Response response = null;
        int entryIndex = entry;
        for (int tries = 0; response == null && tries < cluster.size(); tries++) {
            entryIndex = (entry + tries) % cluster.size();
            try (HttpCall call = HttpCall.connect(cluster.callerAddress(entryIndex), silenceTimeoutMs(work))) {
                recordSent(work, requestId, entryIndex);
                response = sendAndRead(call, work, state);
                if (response == null) {
                    response = resumeStream(work, entryIndex, state);
                }
            } catch (IOException e) {
                continue;
            }
        }
        if (response == null) {
            recordSent(work, requestId, entry);
            response = state.createResponse(null, 0, "connection-refused", -1, null);
        }
        history.add(response);
        return response;
    }

    private void recordSent(WorkItem work, String requestId, int entry) {
        history.add(new Sent(
                System.currentTimeMillis(),
                requestId,
                work.id(),
                work.kind().name().toString(),
                work.kind().repeatable(),
                work.isStreamed(),
                work.key(),
                cluster.entryName(entry)));
    }

    /** Sends the request and returns its response, or {@code null} if the connection was lost before its end. */
    private Response sendAndRead(HttpCall call, WorkItem work, RequestState state) {
        try {
            call.exchange("POST", "/v1/work/" + work.kind().name(), headers(work, state.requestId), work.body());
            return readResponse(call, work, state);
        } catch (IOException e) {
            return null;
        }
    }

    private int silenceTimeoutMs(WorkItem work) {
        return work.isStreamed() ? STREAM_SILENCE_TIMEOUT_MS : completeResponseTimeoutMs;
    }

    private static Map<String, String> headers(WorkItem work, String requestId) {
        Map<String, String> headers = new HashMap<>();
        headers.put("Authorization", "Bearer " + work.organisation() + "-credential");
        headers.put("Organisation", work.organisation());
        if (requestId != null) {
            headers.put("Request-Id", requestId);
        }
        if (work.key() != null) {
            headers.put("Idempotency-Key", work.key());
        }
        return headers;
    }

    /** Resumes a stream at the other entries in turn until it ends or the timeout of the caller has passed. */
    private Response resumeStream(WorkItem work, int entry, RequestState state) {
        int entryIndex = entry;
        while (state.stream != null && System.currentTimeMillis() < state.deadlineEpochMs) {
            entryIndex = (entryIndex + 1) % cluster.size();
            try (HttpCall call = HttpCall.connect(cluster.callerAddress(entryIndex), STREAM_SILENCE_TIMEOUT_MS)) {
                Map<String, String> headers = headers(work, null);
                if (state.lastEventId != null) {
                    headers.put("Last-Event-ID", state.lastEventId);
                }
                call.exchange("GET", "/v1/streams/" + state.stream, headers, null);
                Response response = readResponse(call, work, state);
                // A rejected resume does not end the request: another entry may still be able to resume its stream.
                if (response != null && (response.status() < 400 || response.status() == 410)) {
                    return response;
                }
                pause(RESUME_DELAY_MS);
            } catch (IOException e) {
                pause(RESUME_DELAY_MS);
            }
        }
        return state.createResponse(null, 0, "connection-lost", -1, null);
    }

    /** Reads a response; returns {@code null} if a stream ended without its last event. */
    private Response readResponse(HttpCall call, WorkItem work, RequestState state) throws IOException {
        String type = Objects.requireNonNullElse(call.header("Content-Type"), "");
        if (!type.startsWith("text/event-stream")) {
            String body = call.readRemainingBody();
            JsonNode json = parse(body);
            Outcome outcome = call.header("Outcome") == null ? null : Outcome.parse(call.header("Outcome"));
            String problemType =
                    json.path("type").isTextual() ? json.path("type").asText() : null;
            state.generation = call.header("Generation");
            return state.createResponse(outcome, call.status(), problemType, -1, ResponseText.ofResponse(work, json));
        }
        String event = "";
        String id = null;
        for (String line = call.readBodyLine(); line != null; line = call.readBodyLine()) {
            if (line.startsWith("event:")) {
                event = line.substring(6).trim();
            } else if (line.startsWith("id:")) {
                id = line.substring(3).trim();
            } else if (line.startsWith("data:")) {
                Response response = state.onEvent(event, id, parse(line.substring(5)), call.status());
                if (response != null) {
                    return response;
                }
                pause(readDelayMs);
            } else if (line.isEmpty()) {
                event = "";
                id = null;
            }
        }
        return null;
    }

    private static JsonNode parse(String text) throws IOException {
        return text.isBlank() ? MAPPER.createObjectNode() : MAPPER.readTree(text);
    }

    private static void pause(int ms) {
        if (ms > 0) {
            try {
                Thread.sleep(ms);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** The state of one request while its response is read. */
    private final class RequestState {
        private final String requestId;
        private final long deadlineEpochMs;
        private String stream;
        private String generation;
        private String lastEventId;

        RequestState(String requestId, long deadlineEpochMs) {
            this.requestId = requestId;
            this.deadlineEpochMs = deadlineEpochMs;
        }

        Response onEvent(String event, String id, JsonNode data, int status) {
            switch (event) {
                case "start" -> {
                    stream = data.path("stream").asText();
                    generation = data.path("generation").asText();
                    return null;
                }
                case "end" -> {
                    Outcome outcome = Outcome.parse(data.path("outcome").asText());
                    return createResponse(
                            outcome, status, null, data.path("tokens").asLong(-1), null);
                }
                case "error" -> {
                    Outcome outcome = Outcome.parse(data.path("outcome").asText());
                    return createResponse(outcome, status, data.path("type").asText(), -1, null);
                }
                default -> {
                    if (id != null) {
                        lastEventId = id;
                        long offset = Long.parseLong(id.substring(id.lastIndexOf(':') + 1));
                        history.add(new TokenReceived(
                                System.currentTimeMillis(),
                                requestId,
                                generation,
                                offset,
                                data.path("t").asText()));
                    }
                    return null;
                }
            }
        }

        Response createResponse(Outcome outcome, int status, String type, long tokens, String text) {
            return new Response(System.currentTimeMillis(), requestId, outcome, status, type, generation, tokens, text);
        }
    }
}
