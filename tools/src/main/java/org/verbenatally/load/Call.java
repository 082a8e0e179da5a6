package org.verbenatally.load;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.verbenatally.core.Address;
import org.verbenatally.core.GenerationId;
import org.verbenatally.core.Outcome;
import org.verbenatally.history.HistoryRecord;
import org.verbenatally.load.Exchange.Part;
import org.verbenatally.standin.TokenText;

/**
 * Executes one unit of work for a caller: sends copies of the request, resumes its stream and checks the response. A
 * copy is one submission of the request under a request id of its own; a resume reads the rest of its stream from
 * another entry. Each call runs on one virtual thread.
 */
final class Call {
    /** Delay before the next copy or resume; avoids a tight loop while no entry is reachable. */
    private static final long RETRY_DELAY_MS = 100;

    private static final int CREATED = 201;
    private static final int KEY_REQUIRED = 428;

    /**
     * The result of one copy. The outcome is {@code null} if the connection was lost or timed out before an entry
     * reported one.
     */
    private record CopyResult(Outcome outcome, int status, long retryAfterMs) {}

    private final CallerClient client;
    private final CallRequest request;
    private final CallRecord record;
    private int entryIndex;
    private long giveUpNanos;
    private String stream;
    private String lastEventId;
    private String key;
    private long reportedTokens = -1;

    Call(CallerClient client, CallRequest request, int entryIndex) {
        this.client = client;
        this.request = request;
        this.entryIndex = entryIndex;
        record = new CallRecord(request);
    }

    CallRecord run() {
        record.begin(System.nanoTime());
        giveUpNanos = System.nanoTime()
                + TimeUnit.MILLISECONDS.toNanos(
                        request.deadlineMs() + client.options().graceMs());
        Outcome outcome = Outcome.UNKNOWN;
        try {
            outcome = sendCopies();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        record.end(outcome, System.nanoTime());
        return record;
    }

    private Outcome sendCopies() throws InterruptedException {
        int notRunRetries = client.options().notRunRetries();
        Outcome outcome = Outcome.NOT_RUN;
        for (int copy = 0; copy < client.options().maxCopies() + notRunRetries; copy++) {
            if (!request.repeatable() && key == null && !requestKey()) {
                return outcome;
            }
            CopyResult result = sendCopy(copy);
            outcome = result.outcome() == null ? Outcome.UNKNOWN : result.outcome();
            boolean retry =
                    switch (outcome) {
                        case DONE -> false;
                        case NOT_RUN -> result.status() == KEY_REQUIRED || notRunRetries-- > 0;
                        case UNKNOWN -> key != null || result.outcome() == null && record.tokens() == 0;
                    };
            if (!retry || remainingMs() <= 0) {
                return outcome;
            }
            if (outcome == Outcome.NOT_RUN) {
                key = result.status() == KEY_REQUIRED ? key : null;
            }
            pause(Math.max(RETRY_DELAY_MS, result.retryAfterMs()));
        }
        return outcome;
    }

    /** Requests an idempotency key from the entries in turn. Returns whether one was issued. */
    private boolean requestKey() throws InterruptedException {
        for (int attempt = 0; attempt < client.options().maxCopies() && remainingMs() > 0; attempt++) {
            Address entry = client.entry(entryIndex++);
            Exchange exchange = client.startExchange(
                    entry, HttpMethod.POST, "/v1/keys/" + request.kind(), headers(), Buffer.buffer());
            Buffer body = Buffer.buffer();
            int status = readToEnd(exchange, body, client.options().silenceTimeoutMs());
            if (status == CREATED) {
                key = json(body).getString("key");
                record.setKey(key);
                return true;
            }
            pause(RETRY_DELAY_MS);
        }
        return false;
    }

    private CopyResult sendCopy(int copy) throws InterruptedException {
        Address entry = client.entry(entryIndex++);
        String id = request.work() + "-" + copy;
        stream = null;
        lastEventId = null;
        Map<String, String> headers = headers();
        headers.put("Request-Id", id);
        headers.put("Deadline-Ms", Long.toString(Math.min(request.deadlineMs(), Math.max(1, remainingMs()))));
        headers.put("Content-Type", "application/json");
        if (key != null) {
            headers.put("Idempotency-Key", key);
        }
        recordSend(id, entry, false);
        client.recordHistory(new HistoryRecord.Sent(
                System.currentTimeMillis(),
                id,
                request.work(),
                request.kind(),
                request.repeatable(),
                request.stream(),
                key,
                entry.toString()));
        Exchange exchange = client.startExchange(
                entry,
                HttpMethod.POST,
                "/v1/work/" + request.kind(),
                headers,
                request.body().toBuffer());
        CopyResult result = readResponse(exchange, id);
        client.recordHistory(new HistoryRecord.Response(
                System.currentTimeMillis(),
                id,
                result.outcome(),
                result.status(),
                record.problemType(),
                record.generation(),
                reportedTokens,
                record.text()));
        return result;
    }

    private CopyResult readResponse(Exchange exchange, String id) throws InterruptedException {
        // The head of a stream is sent as soon as the work is admitted; that of a complete response only once the work
        // is done.
        Part first = exchange.next(
                request.stream() ? Math.min(client.options().headTimeoutMs(), remainingMs()) : remainingMs());
        if (!(first instanceof Part.Head head)) {
            exchange.reset();
            record.setStatus(0);
            return new CopyResult(null, 0, 0);
        }
        record.setStatus(head.status());
        String contentType = String.valueOf(head.headers().get("Content-Type"));
        if (contentType.startsWith("text/event-stream")) {
            return readStream(exchange, id);
        }
        Buffer body = Buffer.buffer();
        return readBody(exchange, body, remainingMs())
                ? checkResponse(head, body)
                : new CopyResult(null, head.status(), 0);
    }

    private CopyResult checkResponse(Part.Head head, Buffer body) {
        String outcomeText = head.headers().get("Outcome");
        if (head.status() >= 400) {
            return readProblem(json(body), head.status(), outcomeText);
        }
        String generation = head.headers().get("Generation");
        record.setGeneration(generation);
        if (generation != null) {
            JsonObject response = json(body);
            String generated = response.getString("text", body.toString());
            int count = response.getInteger(
                    "tokens", (int) generated.chars().filter(c -> c == ' ').count());
            record.setCompleteBody(generated, count);
            if (!TokenText.isComplete(generated, new GenerationId(generation), count)) {
                record.addViolation("complete response is not exactly one complete generation");
            }
        } else {
            record.setCompleteBody(body.toString(), 0);
            if (!request.work().equals(json(body).getString("work"))) {
                record.addViolation("response belongs to other work");
            }
        }
        return new CopyResult(outcomeText == null ? Outcome.DONE : Outcome.parse(outcomeText), head.status(), 0);
    }

    private CopyResult readProblem(JsonObject problem, int status, String outcomeHeader) {
        record.setProblemType(problem.getString("type"));
        String outcomeText = outcomeHeader != null ? outcomeHeader : problem.getString("outcome", "unknown");
        if (status == KEY_REQUIRED) {
            key = problem.getString("key");
            record.setKey(key);
        }
        return new CopyResult(Outcome.parse(outcomeText), status, problem.getLong("retryAfterMs", 0L));
    }

    private CopyResult readStream(Exchange first, String id) throws InterruptedException {
        Exchange exchange = first;
        for (int resumes = 0; ; ) {
            CopyResult result = exchange == null ? null : readEvents(exchange, id);
            if (result != null) {
                return result;
            }
            if (stream == null
                    || remainingMs() <= 0
                    || resumes++ >= client.options().maxResumes()) {
                return new CopyResult(null, record.status(), 0);
            }
            Address entry = client.entry(entryIndex++);
            Map<String, String> headers = headers();
            if (lastEventId != null) {
                headers.put("Last-Event-ID", lastEventId);
            }
            recordSend(id, entry, true);
            exchange = client.startExchange(entry, HttpMethod.GET, "/v1/streams/" + stream, headers, Buffer.buffer());
            Part part = exchange.next(client.options().silenceTimeoutMs());
            if (!(part instanceof Part.Head head)) {
                exchange.reset();
                exchange = null;
                pause(RETRY_DELAY_MS);
                continue;
            }
            record.setStatus(head.status());
            if (head.status() == 410 || head.status() == 404) {
                Buffer body = Buffer.buffer();
                readBody(exchange, body, client.options().silenceTimeoutMs());
                return readProblem(json(body), head.status(), head.headers().get("Outcome"));
            }
            if (head.status() != 200) {
                exchange.reset();
                exchange = null;
                pause(RETRY_DELAY_MS);
            }
        }
    }

    /**
     * Reads events until one of them ends the stream. Returns {@code null} if the connection closes or no data arrives
     * in time before that.
     */
    private CopyResult readEvents(Exchange exchange, String id) throws InterruptedException {
        EventReader reader = new EventReader();
        while (true) {
            Part part = exchange.next(Math.min(client.options().silenceTimeoutMs(), Math.max(1, remainingMs())));
            if (!(part instanceof Part.Chunk chunk)) {
                exchange.reset();
                return null;
            }
            for (EventReader.Event event : reader.add(chunk.bytes())) {
                CopyResult result = onEvent(event, chunk.nanos(), id);
                if (result != null) {
                    return result;
                }
            }
        }
    }

    private CopyResult onEvent(EventReader.Event event, long nanos, String id) {
        JsonObject data = json(Buffer.buffer(event.data()));
        switch (event.name()) {
            case "start" -> {
                stream = data.getString("stream");
                String generation = data.getString("generation");
                if (record.generation() != null && !record.generation().equals(generation) && record.tokens() > 0) {
                    record.addViolation("generation changed after " + record.tokens() + " tokens");
                }
                record.setGeneration(generation);
            }
            case "end" -> {
                if (data.getInteger("tokens", -1) != record.tokens()) {
                    record.addViolation("end event reports " + data.getInteger("tokens") + " tokens, " + record.tokens()
                            + " received");
                }
                return new CopyResult(Outcome.parse(data.getString("outcome", "done")), 200, 0);
            }
            case "error" -> {
                return readProblem(data, data.getInteger("status", 200), null);
            }
            default -> onToken(event, data.getString("t"), nanos, id);
        }
        return null;
    }

    private void onToken(EventReader.Event event, String text, long nanos, String id) {
        if (text == null || event.id() == null) {
            record.addViolation("event without token or id: " + event.name());
            return;
        }
        lastEventId = event.id();
        long offset = Long.parseLong(event.id().substring(event.id().lastIndexOf(':') + 1));
        if (offset != record.tokens()) {
            record.addViolation("token " + offset + " received, " + record.tokens() + " expected");
        }
        if (record.generation() == null || !TokenText.matches(text, new GenerationId(record.generation()), offset)) {
            record.addViolation("token " + offset + " is not from generation " + record.generation());
        }
        record.addToken(nanos);
        client.recordHistory(
                new HistoryRecord.TokenReceived(System.currentTimeMillis(), id, record.generation(), offset, text));
    }

    /** Reads a response to its end. Returns its status, or 0 if it did not arrive completely. */
    private int readToEnd(Exchange exchange, Buffer body, long timeoutMs) throws InterruptedException {
        if (exchange.next(timeoutMs) instanceof Part.Head head && readBody(exchange, body, timeoutMs)) {
            return head.status();
        }
        exchange.reset();
        return 0;
    }

    private boolean readBody(Exchange exchange, Buffer body, long timeoutMs) throws InterruptedException {
        while (true) {
            switch (exchange.next(timeoutMs)) {
                case Part.Chunk chunk -> body.appendBuffer(chunk.bytes());
                case Part.End end -> {
                    return true;
                }
                default -> {
                    exchange.reset();
                    return false;
                }
            }
        }
    }

    private Map<String, String> headers() {
        Map<String, String> headers = new HashMap<>();
        headers.put("Authorization", "Bearer " + request.credential());
        headers.put("Organisation", request.organisation());
        return headers;
    }

    private void recordSend(String id, Address entry, boolean resume) {
        record.addSend(
                new CallRecord.Send(id, entry.toString(), resume, System.currentTimeMillis(), System.nanoTime(), 0));
    }

    private long remainingMs() {
        return TimeUnit.NANOSECONDS.toMillis(giveUpNanos - System.nanoTime());
    }

    private void pause(long ms) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(Math.min(ms, Math.max(1, remainingMs())));
    }

    private static JsonObject json(Buffer body) {
        try {
            return body.length() == 0 ? new JsonObject() : new JsonObject(body);
        } catch (DecodeException | ClassCastException e) {
            return new JsonObject();
        }
    }
}
