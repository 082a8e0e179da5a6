package org.verbenatally.core;

import java.security.SecureRandom;

/**
 * Distinguishes successive runs of a process under the same instance id. The upper 44 bits hold the start time in
 * milliseconds since the epoch, the lower 20 bits are random, so that two starts within the same millisecond differ.
 *
 * @param value the 64 bits, positive
 */
public record Incarnation(long value) implements Comparable<Incarnation> {
    private static final int RANDOM_BITS = 20;
    private static final SecureRandom RANDOM = new SecureRandom();

    /**
     * Checks the value.
     *
     * @throws IllegalArgumentException if the value is not positive
     */
    public Incarnation {
        if (value <= 0) {
            throw new IllegalArgumentException("incarnation must be positive: " + value);
        }
    }

    /** Returns a new incarnation for a process that starts at the given time, in milliseconds since the epoch. */
    public static Incarnation startedAt(long epochMillis) {
        return new Incarnation(epochMillis << RANDOM_BITS | RANDOM.nextInt(1 << RANDOM_BITS));
    }

    // Written by hand: the equals and hashCode methods generated for a record access its components through method
    // handles, which the first-tier compiler (C1) does not inline, and ids are compared for each record that peers pass
    // on.
    @Override
    public boolean equals(Object other) {
        return other instanceof Incarnation that && value == that.value;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(value);
    }

    @Override
    public int compareTo(Incarnation other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toHexString(value);
    }
}
