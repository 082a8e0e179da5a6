package org.verbenatally.entry.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/** Records how one request was processed, step by step. Contains no prompt, response, credential or key. */
public final class RequestTrace {
    /** Maximum number of steps. Later ones are dropped, for example those of a request with many resumes. */
    private static final int MAX_STEPS = 48;

    private final String request;
    private final String organisation;
    private final String kind;
    private final long startNanos = System.nanoTime();
    private final List<Step> steps = new ArrayList<>();

    /**
     * One step in the processing of a request.
     *
     * @param atMs time since the request arrived, in milliseconds
     * @param text one short sentence
     */
    public record Step(long atMs, String text) {}

    RequestTrace(String request, String organisation, String kind) {
        this.request = Objects.requireNonNull(request, "request");
        this.organisation = organisation;
        this.kind = kind;
    }

    /** Adds a step that happens now. */
    public synchronized void addStep(String text) {
        if (steps.size() < MAX_STEPS) {
            steps.add(new Step((System.nanoTime() - startNanos) / 1_000_000, text));
        }
    }

    /** Returns the id of the request. */
    public String request() {
        return request;
    }

    /** Returns the organisation that sent the request. */
    public String organisation() {
        return organisation;
    }

    /** Returns the kind of work. */
    public String kind() {
        return kind;
    }

    /** Returns the steps recorded so far. */
    public synchronized List<Step> steps() {
        return List.copyOf(steps);
    }
}
