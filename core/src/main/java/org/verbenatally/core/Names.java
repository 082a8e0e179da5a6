package org.verbenatally.core;

import java.util.Objects;

/** Checks the syntax that all string ids share. */
final class Names {
    private static final int MAX_LENGTH = 128;

    private Names() {}

    /** Throws an {@link IllegalArgumentException} that starts with {@code what} if the value is not a valid id. */
    static void check(String what, String value) {
        Objects.requireNonNull(value, what);
        if (value.isEmpty() || value.length() > MAX_LENGTH || !isAllowed(value)) {
            throw new IllegalArgumentException(
                    what + " must be 1 to 128 characters from letters, digits, '.', '_', ':' and '-'");
        }
    }

    /**
     * A loop rather than a regular expression, which takes most of the time of a check, and ids are checked for each
     * record that peers pass on.
     */
    private static boolean isAllowed(String value) {
        for (int i = 0; i < value.length(); i++) {
            if (!isAllowed(value.charAt(i))) {
                return false;
            }
        }
        return true;
    }

    private static boolean isAllowed(char c) {
        return c >= 'a' && c <= 'z'
                || c >= '0' && c <= '9'
                || c >= 'A' && c <= 'Z'
                || c == '-'
                || c == '.'
                || c == '_'
                || c == ':';
    }
}
