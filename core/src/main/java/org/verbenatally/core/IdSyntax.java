package org.verbenatally.core;

import java.util.Objects;

/** Checks the syntax that all string ids share. */
final class IdSyntax {
    private static final int MAX_LENGTH = 128;

    private IdSyntax() {}

    /** Throws an {@link IllegalArgumentException} that starts with {@code what} if the value is not a valid id. */
    static void check(String what, String value) {
        Objects.requireNonNull(value, what);
        if (value.isEmpty() || value.length() > MAX_LENGTH || !isAllowed(value)) {
            throw new IllegalArgumentException(
                    what + " must be 1 to 128 characters long and contain only letters, digits, '.', '_', ':' and '-'");
        }
    }

    /**
     * Uses a loop because ids are checked for each record that peers pass on, and a regular expression takes most of
     * that time.
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
