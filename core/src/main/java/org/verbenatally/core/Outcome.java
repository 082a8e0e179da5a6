package org.verbenatally.core;

/** What the system knows about whether a request ran. Every answer to a caller carries one. */
public enum Outcome {
    /** The request ran and the answer is whole. */
    DONE("done"),
    /** The request did not run and will not run. */
    NOT_RUN("not-run"),
    /** The request may have reached a target; nobody can tell whether it ran. */
    UNKNOWN("unknown");

    private final String text;

    Outcome(String text) {
        this.text = text;
    }

    /** Returns the value of the {@code Outcome} header. */
    public String text() {
        return text;
    }

    /**
     * Reads the value of the {@code Outcome} header.
     *
     * @throws IllegalArgumentException if the text is none of the three
     */
    public static Outcome parse(String text) {
        for (Outcome outcome : values()) {
            if (outcome.text.equals(text)) {
                return outcome;
            }
        }
        throw new IllegalArgumentException("outcome must be done, not-run or unknown: " + text);
    }
}
