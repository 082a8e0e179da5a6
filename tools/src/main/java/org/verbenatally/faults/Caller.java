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
import org.verbenatally.history.HistoryRecord.Answer;
import org.verbenatally.history.HistoryRecord.Sent;
import org.verbenatally.history.HistoryRecord.TokenSeen;

/**
 * Sends work as a caller does and records everything that it sees. A stream whose connection breaks or goes silent is
 * resumed at the next entry. One caller can send many copies at the same time from different threads.
 */
final class Caller {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    /** The system sends a comment every 2 s; a caller gives a connection up after three of them are missing. */
    static final int STREAM_SILENCE_MS = 6_000;

    private static final AtomicLong SERIAL = new AtomicLong();
    private static final int RESUME_PAUSE_MS = 200;

    private final Cluster cluster;
    private final History history;
    private final int whole;
    private final int patienceMs;
    private int readDelayMs;

    /**
     * Creates a caller.
     *
     * @param patienceMs time after which it gives up on an answer, in milliseconds
     */
    Caller(Cluster cluster, int patienceMs) {
        this.cluster = cluster;
        this.history = cluster.history();
        this.whole = patienceMs;
        this.patienceMs = patienceMs;
    }

    /** Makes this caller wait before it reads each event of a stream. */
    Caller readingSlowly(int delayMs) {
        readDelayMs = delayMs;
        return this;
    }

    /**
     * Gets an idempotency key.
     *
     * @return the work with the key
     * @throws IllegalStateException if the entry refuses
     */
    Work withKey(Work work, int entry) {
        try (HttpCall call = HttpCall.connect(cluster.callers(entry), patienceMs)) {
            call.exchange("POST", "/v1/keys/" + work.kind().name(), headers(work, null), new byte[0]);
            String body = call.rest();
            if (call.status() != 201) {
                throw new IllegalStateException("no key from " + cluster.entryName(entry) + ": " + body);
            }
            return work.withKey(MAPPER.readTree(body).path("key").asText());
        } catch (IOException e) {
            throw new UncheckedIOException("no key from " + cluster.entryName(entry), e);
        }
    }

    /**
     * Sends one copy, follows its stream over broken connections, and returns the recorded end. An entry that refuses
     * the connection is passed over, as a load balancer does.
     */
    Answer send(Work work, int entry) {
        String request = "r" + SERIAL.incrementAndGet();
        Reading reading = new Reading(request, System.currentTimeMillis() + patienceMs);
        Answer answer = null;
        int at = entry;
        for (int tried = 0; answer == null && tried < cluster.size(); tried++) {
            at = (entry + tried) % cluster.size();
            try (HttpCall call = HttpCall.connect(cluster.callers(at), silence(work))) {
                sent(work, request, at);
                answer = exchange(call, work, reading);
                if (answer == null) {
                    answer = resume(work, at, reading);
                }
            } catch (IOException e) {
                continue;
            }
        }
        if (answer == null) {
            sent(work, request, entry);
            answer = reading.end(null, 0, "connection-refused", -1, null);
        }
        history.add(answer);
        return answer;
    }

    private void sent(Work work, String request, int entry) {
        history.add(new Sent(
                System.currentTimeMillis(),
                request,
                work.id(),
                work.kind().name().toString(),
                work.kind().repeatable(),
                work.streamed(),
                work.key(),
                cluster.entryName(entry)));
    }

    /** Sends the request and reads its answer; returns {@code null} if the connection was lost before the end. */
    private Answer exchange(HttpCall call, Work work, Reading reading) {
        try {
            call.exchange("POST", "/v1/work/" + work.kind().name(), headers(work, reading.request), work.body());
            return read(call, work, reading);
        } catch (IOException e) {
            return null;
        }
    }

    private int silence(Work work) {
        return work.streamed() ? STREAM_SILENCE_MS : whole;
    }

    private static Map<String, String> headers(Work work, String request) {
        Map<String, String> headers = new HashMap<>();
        headers.put("Authorization", "Bearer " + work.organisation() + "-credential");
        headers.put("Organisation", work.organisation());
        if (request != null) {
            headers.put("Request-Id", request);
        }
        if (work.key() != null) {
            headers.put("Idempotency-Key", work.key());
        }
        return headers;
    }

    /** Resumes a stream at the other entries in turn until it ends or patience runs out. */
    private Answer resume(Work work, int entry, Reading reading) {
        int next = entry;
        while (reading.stream != null && System.currentTimeMillis() < reading.giveUpMs) {
            next = (next + 1) % cluster.size();
            try (HttpCall call = HttpCall.connect(cluster.callers(next), STREAM_SILENCE_MS)) {
                Map<String, String> headers = headers(work, null);
                if (reading.lastEventId != null) {
                    headers.put("Last-Event-ID", reading.lastEventId);
                }
                call.exchange("GET", "/v1/streams/" + reading.stream, headers, null);
                Answer answer = read(call, work, reading);
                // A refusal of the resume says nothing about the request, which another entry can still follow.
                if (answer != null && (answer.status() < 400 || answer.status() == 410)) {
                    return answer;
                }
                pause(RESUME_PAUSE_MS);
            } catch (IOException e) {
                pause(RESUME_PAUSE_MS);
            }
        }
        return reading.end(null, 0, "connection-lost", -1, null);
    }

    /** Reads an answer; returns {@code null} if a stream ended without its last event. */
    private Answer read(HttpCall call, Work work, Reading reading) throws IOException {
        String type = Objects.requireNonNullElse(call.header("Content-Type"), "");
        if (!type.startsWith("text/event-stream")) {
            String body = call.rest();
            JsonNode json = parse(body);
            Outcome outcome = call.header("Outcome") == null ? null : Outcome.parse(call.header("Outcome"));
            String problem = json.path("type").isTextual() ? json.path("type").asText() : null;
            reading.generation = call.header("Generation");
            return reading.end(outcome, call.status(), problem, -1, Answers.canonical(work, json));
        }
        String event = "";
        String id = null;
        for (String line = call.line(); line != null; line = call.line()) {
            if (line.startsWith("event:")) {
                event = line.substring(6).trim();
            } else if (line.startsWith("id:")) {
                id = line.substring(3).trim();
            } else if (line.startsWith("data:")) {
                Answer end = reading.event(event, id, parse(line.substring(5)), call.status());
                if (end != null) {
                    return end;
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

    /** What is known of one copy while its answer is read. */
    private final class Reading {
        private final String request;
        private final long giveUpMs;
        private String stream;
        private String generation;
        private String lastEventId;

        Reading(String request, long giveUpMs) {
            this.request = request;
            this.giveUpMs = giveUpMs;
        }

        Answer event(String event, String id, JsonNode data, int status) {
            switch (event) {
                case "start" -> {
                    stream = data.path("stream").asText();
                    generation = data.path("generation").asText();
                    return null;
                }
                case "end" -> {
                    Outcome outcome = Outcome.parse(data.path("outcome").asText());
                    return end(outcome, status, null, data.path("tokens").asLong(-1), null);
                }
                case "error" -> {
                    Outcome outcome = Outcome.parse(data.path("outcome").asText());
                    return end(outcome, status, data.path("type").asText(), -1, null);
                }
                default -> {
                    if (id != null) {
                        lastEventId = id;
                        long offset = Long.parseLong(id.substring(id.lastIndexOf(':') + 1));
                        history.add(new TokenSeen(
                                System.currentTimeMillis(),
                                request,
                                generation,
                                offset,
                                data.path("t").asText()));
                    }
                    return null;
                }
            }
        }

        Answer end(Outcome outcome, int status, String type, long tokens, String text) {
            return new Answer(System.currentTimeMillis(), request, outcome, status, type, generation, tokens, text);
        }
    }
}
