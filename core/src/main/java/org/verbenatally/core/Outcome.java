package org.verbenatally.core;

/** What is known about whether a request ran. Every response to a caller carries an outcome. */
public enum Outcome {
    /** The request ran and its response is complete. */
    DONE("done"),
    /** The request did not run and will not run. */
    NOT_RUN("not-run"),
    /** The request may have reached a target; whether it ran cannot be determined. */
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
     * Parses the value of the {@code Outcome} header.
     *
     * @throws IllegalArgumentException if the text is none of the three values
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
