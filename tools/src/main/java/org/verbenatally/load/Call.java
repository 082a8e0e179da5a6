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

/** One piece of work of a caller: copies, resumes and the judgement of the answer. Runs on one virtual thread. */
final class Call {
    /** Pause before another copy or resume, so that a dead fleet is not called in a tight loop. */
    private static final long PAUSE_MS = 100;

    private static final int CREATED = 201;
    private static final int KEY_REQUIRED = 428;

    /** The answer to a copy; no outcome: the connection was lost and the caller was told nothing. */
    private record Reply(Outcome outcome, int status, long retryAfterMs) {}

    private final CallerClient client;
    private final CallRequest request;
    private final CallRecord record;
    private int entryIndex;
    private long giveUpNanos;
    private String stream;
    private String lastEventId;
    private String key;
    private long namedTokens = -1;

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
            if (!request.repeatable() && key == null && !getKey()) {
                return outcome;
            }
            Reply reply = sendCopy(copy);
            outcome = reply.outcome() == null ? Outcome.UNKNOWN : reply.outcome();
            boolean again =
                    switch (outcome) {
                        case DONE -> false;
                        case NOT_RUN -> reply.status() == KEY_REQUIRED || notRunRetries-- > 0;
                        case UNKNOWN -> key != null || reply.outcome() == null && record.tokens() == 0;
                    };
            if (!again || remainingMs() <= 0) {
                return outcome;
            }
            if (outcome == Outcome.NOT_RUN) {
                key = reply.status() == KEY_REQUIRED ? key : null;
            }
            pause(Math.max(PAUSE_MS, reply.retryAfterMs()));
        }
        return outcome;
    }

    private boolean getKey() throws InterruptedException {
        for (int attempt = 0; attempt < client.options().maxCopies() && remainingMs() > 0; attempt++) {
            Address entry = client.entry(entryIndex++);
            Exchange exchange =
                    client.exchange(entry, HttpMethod.POST, "/v1/keys/" + request.kind(), headers(), Buffer.buffer());
            Buffer body = Buffer.buffer();
            int status = readAll(exchange, body, client.options().silenceMs());
            if (status == CREATED) {
                key = json(body).getString("key");
                record.key(key);
                return true;
            }
            pause(PAUSE_MS);
        }
        return false;
    }

    private Reply sendCopy(int copy) throws InterruptedException {
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
        noteSend(id, entry, false);
        client.note(new HistoryRecord.Sent(
                System.currentTimeMillis(),
                id,
                request.work(),
                request.kind(),
                request.repeatable(),
                request.stream(),
                key,
                entry.toString()));
        Exchange exchange = client.exchange(
                entry,
                HttpMethod.POST,
                "/v1/work/" + request.kind(),
                headers,
                request.body().toBuffer());
        Reply reply = readAnswer(exchange, id);
        client.note(new HistoryRecord.Answer(
                System.currentTimeMillis(),
                id,
                reply.outcome(),
                reply.status(),
                record.type(),
                record.generation(),
                namedTokens,
                record.text()));
        return reply;
    }

    private Reply readAnswer(Exchange exchange, String id) throws InterruptedException {
        // A whole answer takes as long as it takes; the head of a stream is sent when the work is admitted.
        Part first =
                exchange.next(request.stream() ? Math.min(client.options().headMs(), remainingMs()) : remainingMs());
        if (!(first instanceof Part.Head head)) {
            exchange.reset();
            record.answered(0);
            return new Reply(null, 0, 0);
        }
        record.answered(head.status());
        String contentType = String.valueOf(head.headers().get("Content-Type"));
        if (contentType.startsWith("text/event-stream")) {
            return readStream(exchange, id);
        }
        Buffer body = Buffer.buffer();
        return readBody(exchange, body, remainingMs()) ? judge(head, body) : new Reply(null, head.status(), 0);
    }

    private Reply judge(Part.Head head, Buffer body) {
        String text = head.headers().get("Outcome");
        if (head.status() >= 400) {
            return problem(json(body), head.status(), text);
        }
        String generation = head.headers().get("Generation");
        record.generation(generation);
        if (generation != null) {
            JsonObject answer = json(body);
            String whole = answer.getString("text", body.toString());
            int count = answer.getInteger(
                    "tokens", (int) whole.chars().filter(c -> c == ' ').count());
            record.whole(whole, count);
            if (!TokenText.isWhole(whole, new GenerationId(generation), count)) {
                record.violation("whole answer is not one whole generation");
            }
        } else {
            record.whole(body.toString(), 0);
            if (!request.work().equals(json(body).getString("work"))) {
                record.violation("answer belongs to other work");
            }
        }
        return new Reply(text == null ? Outcome.DONE : Outcome.parse(text), head.status(), 0);
    }

    private Reply problem(JsonObject problem, int status, String header) {
        record.problem(problem.getString("type"));
        String text = header != null ? header : problem.getString("outcome", "unknown");
        if (status == KEY_REQUIRED) {
            key = problem.getString("key");
            record.key(key);
        }
        return new Reply(Outcome.parse(text), status, problem.getLong("retryAfterMs", 0L));
    }

    private Reply readStream(Exchange first, String id) throws InterruptedException {
        Exchange exchange = first;
        for (int resumes = 0; ; ) {
            Reply end = exchange == null ? null : readEvents(exchange, id);
            if (end != null) {
                return end;
            }
            if (stream == null
                    || remainingMs() <= 0
                    || resumes++ >= client.options().maxResumes()) {
                return new Reply(null, record.status(), 0);
            }
            Address entry = client.entry(entryIndex++);
            Map<String, String> headers = headers();
            if (lastEventId != null) {
                headers.put("Last-Event-ID", lastEventId);
            }
            noteSend(id, entry, true);
            exchange = client.exchange(entry, HttpMethod.GET, "/v1/streams/" + stream, headers, Buffer.buffer());
            Part answer = exchange.next(client.options().silenceMs());
            if (!(answer instanceof Part.Head head)) {
                exchange.reset();
                exchange = null;
                pause(PAUSE_MS);
                continue;
            }
            record.answered(head.status());
            if (head.status() == 410 || head.status() == 404) {
                Buffer body = Buffer.buffer();
                readBody(exchange, body, client.options().silenceMs());
                return problem(json(body), head.status(), head.headers().get("Outcome"));
            }
            if (head.status() != 200) {
                exchange.reset();
                exchange = null;
                pause(PAUSE_MS);
            }
        }
    }

    /** Reads events until the stream ends. Returns {@code null} if it was cut or silent. */
    private Reply readEvents(Exchange exchange, String id) throws InterruptedException {
        EventReader reader = new EventReader();
        while (true) {
            Part part = exchange.next(Math.min(client.options().silenceMs(), Math.max(1, remainingMs())));
            if (!(part instanceof Part.Bytes bytes)) {
                exchange.reset();
                return null;
            }
            for (EventReader.Event event : reader.add(bytes.bytes())) {
                Reply end = onEvent(event, bytes.nanos(), id);
                if (end != null) {
                    return end;
                }
            }
        }
    }

    private Reply onEvent(EventReader.Event event, long nanos, String id) {
        JsonObject data = json(Buffer.buffer(event.data()));
        switch (event.name()) {
            case "start" -> {
                stream = data.getString("stream");
                String generation = data.getString("generation");
                if (record.generation() != null && !record.generation().equals(generation) && record.tokens() > 0) {
                    record.violation("generation changed after " + record.tokens() + " tokens");
                }
                record.generation(generation);
            }
            case "end" -> {
                if (data.getInteger("tokens", -1) != record.tokens()) {
                    record.violation(
                            "end names " + data.getInteger("tokens") + " tokens, " + record.tokens() + " seen");
                }
                return new Reply(Outcome.parse(data.getString("outcome", "done")), 200, 0);
            }
            case "error" -> {
                return problem(data, data.getInteger("status", 200), null);
            }
            default -> onToken(event, data.getString("t"), nanos, id);
        }
        return null;
    }

    private void onToken(EventReader.Event event, String text, long nanos, String id) {
        if (text == null || event.id() == null) {
            record.violation("event without token or id: " + event.name());
            return;
        }
        lastEventId = event.id();
        long offset = Long.parseLong(event.id().substring(event.id().lastIndexOf(':') + 1));
        if (offset != record.tokens()) {
            record.violation("token " + offset + " arrived, " + record.tokens() + " expected");
        }
        if (record.generation() == null || !TokenText.matches(text, new GenerationId(record.generation()), offset)) {
            record.violation("token " + offset + " is not from generation " + record.generation());
        }
        record.token(nanos);
        client.note(new HistoryRecord.TokenSeen(System.currentTimeMillis(), id, record.generation(), offset, text));
    }

    private int readAll(Exchange exchange, Buffer body, long timeoutMs) throws InterruptedException {
        if (exchange.next(timeoutMs) instanceof Part.Head head && readBody(exchange, body, timeoutMs)) {
            return head.status();
        }
        exchange.reset();
        return 0;
    }

    private boolean readBody(Exchange exchange, Buffer body, long timeoutMs) throws InterruptedException {
        while (true) {
            switch (exchange.next(timeoutMs)) {
                case Part.Bytes bytes -> body.appendBuffer(bytes.bytes());
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

    private void noteSend(String id, Address entry, boolean resume) {
        record.sent(
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
