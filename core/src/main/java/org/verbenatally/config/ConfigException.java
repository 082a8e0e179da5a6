package org.verbenatally.config;

import java.util.List;
import java.util.Objects;
import java.util.stream.Collectors;

/** Thrown when a settings, deployment or answers document is invalid. Lists the faults that were found. */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1;

    private final String source;
    private final transient List<Fault> faults;

    /**
     * A fault in a document.
     *
     * @param line line number in the document, from 1; 0 if the fault has no location
     * @param field JSON pointer of the field, empty for the entire document
     * @param message what is wrong and what was expected
     */
    public record Fault(int line, String field, String message) {
        @Override
        public String toString() {
            String location = line > 0 ? "line " + line + ": " : "";
            return location + (field.isEmpty() ? "document" : field) + ": " + message;
        }
    }

    /**
     * Creates an exception.
     *
     * @param source name of the document, as shown to the operator
     * @param faults the faults, at least one
     */
    public ConfigException(String source, List<Fault> faults) {
        super(source + ": "
                + faults.stream()
                        .map(Fault::toString)
                        .collect(Collectors.joining("; ", faults.size() + " fault(s): ", "")));
        this.source = Objects.requireNonNull(source, "source");
        this.faults = List.copyOf(faults);
    }

    /** Returns the name of the document. */
    public String source() {
        return source;
    }

    /** Returns the faults in the order of the document. */
    public List<Fault> faults() {
        return faults;
    }
}
