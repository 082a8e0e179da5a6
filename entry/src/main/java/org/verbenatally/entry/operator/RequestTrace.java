package org.verbenatally.entry.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/** What happened to one request, step by step. Holds no prompt, answer, credential or key. */
public final class RequestTrace {
    /** A request with many resumes keeps its first steps and drops later ones. */
    private static final int MAX_STEPS = 48;

    private final String request;
    private final String organisation;
    private final String kind;
    private final long startNanos = System.nanoTime();
    private final List<Step> steps = new ArrayList<>();

    /**
     * One step.
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

    /** Notes a step. */
    public synchronized void note(String text) {
        if (steps.size() < MAX_STEPS) {
            steps.add(new Step((System.nanoTime() - startNanos) / 1_000_000, text));
        }
    }

    /** Returns the request's id. */
    public String request() {
        return request;
    }

    /** Returns whose request it was. */
    public String organisation() {
        return organisation;
    }

    /** Returns the kind of work. */
    public String kind() {
        return kind;
    }

    /** Returns the steps so far. */
    public synchronized List<Step> steps() {
        return List.copyOf(steps);
    }
}
