package org.verbenatally.history;

/**
 * A place where a history contradicts an invariant.
 *
 * @param rule the broken rule
 * @param detail the records that contradict it, in one sentence
 */
public record Violation(Rule rule, String detail) {
    @Override
    public String toString() {
        return rule.text() + ": " + detail;
    }
}
