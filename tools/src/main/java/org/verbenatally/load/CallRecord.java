package org.verbenatally.load;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.verbenatally.core.Outcome;

/** What a caller saw of one piece of work. Complete when the future of {@link CallerClient#send} is. */
public final class CallRecord {
    /**
     * One exchange with an entry.
     *
     * @param request request id of the copy
     * @param entry address of the entry
     * @param resume whether it resumed a stream
     * @param atMs when, in epoch milliseconds
     * @param atNanos when, on the monotonic clock
     * @param status HTTP status; 0: none arrived
     */
    public record Send(String request, String entry, boolean resume, long atMs, long atNanos, int status) {}

    private final CallRequest request;
    private final List<Send> sends = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private long[] tokenNanos = new long[16];
    private int tokens;
    private Outcome outcome = Outcome.UNKNOWN;
    private int status;
    private String type;
    private String generation;
    private String key;
    private String text;
    private long startNanos;
    private long endNanos;

    CallRecord(CallRequest request) {
        this.request = request;
    }

    /** Returns what was asked. */
    public CallRequest request() {
        return request;
    }

    /** Returns the exchanges in order. */
    public List<Send> sends() {
        return List.copyOf(sends);
    }

    /** Returns how the answer broke the contract: order, completeness or source of tokens. Empty if it did not. */
    public List<String> violations() {
        return List.copyOf(violations);
    }

    /** Returns the arrival times of the tokens on the monotonic clock. */
    public long[] tokenNanos() {
        return Arrays.copyOf(tokenNanos, tokens);
    }

    /** Returns the number of tokens that arrived; for whole answers of an engine, those that it contained. */
    public int tokens() {
        return tokens;
    }

    /** Returns what the caller knows in the end. */
    public Outcome outcome() {
        return outcome;
    }

    /** Returns the last HTTP status; 0: none arrived. */
    public int status() {
        return status;
    }

    /** Returns the type of the last problem document, or {@code null}. */
    public String type() {
        return type;
    }

    /** Returns the generation that the answer named, or {@code null}. */
    public String generation() {
        return generation;
    }

    /** Returns the last idempotency key, or {@code null}. */
    public String key() {
        return key;
    }

    /** Returns the body of a whole answer, or {@code null}. */
    public String text() {
        return text;
    }

    /** Returns when the caller began, on the monotonic clock. */
    public long startNanos() {
        return startNanos;
    }

    /** Returns when the outcome was known, on the monotonic clock. */
    public long endNanos() {
        return endNanos;
    }

    void begin(long nanos) {
        startNanos = nanos;
    }

    void sent(Send send) {
        sends.add(send);
    }

    void answered(int code) {
        status = code;
        if (code > 0) {
            Send last = sends.removeLast();
            sends.add(new Send(last.request(), last.entry(), last.resume(), last.atMs(), last.atNanos(), code));
        }
    }

    void token(long nanos) {
        if (tokens == tokenNanos.length) {
            tokenNanos = Arrays.copyOf(tokenNanos, 2 * tokens);
        }
        tokenNanos[tokens++] = nanos;
    }

    void violation(String what) {
        violations.add(what);
    }

    void problem(String problemType) {
        type = problemType;
    }

    void generation(String id) {
        generation = id;
    }

    void key(String issued) {
        key = issued;
    }

    void whole(String body, int count) {
        text = body;
        tokens = count;
        tokenNanos = new long[Math.max(16, count)];
    }

    void end(Outcome known, long nanos) {
        outcome = known;
        endNanos = nanos;
    }
}
