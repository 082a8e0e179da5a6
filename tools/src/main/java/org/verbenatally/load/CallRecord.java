package org.verbenatally.load;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.verbenatally.core.Outcome;

/**
 * What a caller observed of one unit of work. Complete once the future returned by {@link CallerClient#send} completes.
 */
public final class CallRecord {
    /**
     * One exchange with an entry.
     *
     * @param requestId request id of the copy
     * @param entry address of the entry
     * @param resume whether it resumed a stream
     * @param atMs time of the send, in epoch milliseconds
     * @param atNanos time of the send, in nanoseconds of the monotonic clock
     * @param status HTTP status; 0 if no response arrived
     */
    public record Send(String requestId, String entry, boolean resume, long atMs, long atNanos, int status) {}

    private final CallRequest request;
    private final List<Send> sends = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private long[] tokenNanos = new long[16];
    private int tokens;
    private Outcome outcome = Outcome.UNKNOWN;
    private int status;
    private String problemType;
    private String generation;
    private String key;
    private String text;
    private long startNanos;
    private long endNanos;

    CallRecord(CallRequest request) {
        this.request = request;
    }

    /** Returns the request. */
    public CallRequest request() {
        return request;
    }

    /** Returns the exchanges with entries, in the order in which they were started. */
    public List<Send> sends() {
        return List.copyOf(sends);
    }

    /**
     * Returns the contract violations found in the response: tokens that are out of order, missing or from another
     * generation, or a response to other work. Empty if there were none.
     */
    public List<String> violations() {
        return List.copyOf(violations);
    }

    /** Returns the arrival times of the tokens, in nanoseconds of the monotonic clock. */
    public long[] tokenNanos() {
        return Arrays.copyOf(tokenNanos, tokens);
    }

    /** Returns the number of tokens received; for a complete response of an engine, the number that it contains. */
    public int tokens() {
        return tokens;
    }

    /** Returns the outcome as far as the caller knows it. */
    public Outcome outcome() {
        return outcome;
    }

    /** Returns the last HTTP status; 0 if no response to the last copy arrived. */
    public int status() {
        return status;
    }

    /** Returns the type of the last problem document, or {@code null}. */
    public String problemType() {
        return problemType;
    }

    /** Returns the id of the generation that the response named, or {@code null}. */
    public String generation() {
        return generation;
    }

    /** Returns the last idempotency key, or {@code null}. */
    public String key() {
        return key;
    }

    /** Returns the text of a complete (not streamed) response, or {@code null}. */
    public String text() {
        return text;
    }

    /** Returns the time at which the caller started, in nanoseconds of the monotonic clock. */
    public long startNanos() {
        return startNanos;
    }

    /** Returns the time at which the outcome was known, in nanoseconds of the monotonic clock. */
    public long endNanos() {
        return endNanos;
    }

    void begin(long nanos) {
        startNanos = nanos;
    }

    void addSend(Send send) {
        sends.add(send);
    }

    void setStatus(int code) {
        status = code;
        if (code > 0) {
            Send last = sends.removeLast();
            sends.add(new Send(last.requestId(), last.entry(), last.resume(), last.atMs(), last.atNanos(), code));
        }
    }

    void addToken(long nanos) {
        if (tokens == tokenNanos.length) {
            tokenNanos = Arrays.copyOf(tokenNanos, 2 * tokens);
        }
        tokenNanos[tokens++] = nanos;
    }

    void addViolation(String description) {
        violations.add(description);
    }

    void setProblemType(String value) {
        problemType = value;
    }

    void setGeneration(String id) {
        generation = id;
    }

    void setKey(String issued) {
        key = issued;
    }

    void setCompleteBody(String body, int count) {
        text = body;
        tokens = count;
        tokenNanos = new long[Math.max(16, count)];
    }

    void end(Outcome known, long nanos) {
        outcome = known;
        endNanos = nanos;
    }
}
