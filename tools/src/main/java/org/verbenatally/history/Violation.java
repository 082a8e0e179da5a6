package org.verbenatally.history;

/**
 * A violation of an invariant, found in a history.
 *
 * @param rule the violated rule
 * @param detail one sentence that names the records concerned
 */
public record Violation(Rule rule, String detail) {
    @Override
    public String toString() {
        return rule.text() + ": " + detail;
    }
}
