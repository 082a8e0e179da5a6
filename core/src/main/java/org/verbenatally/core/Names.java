package org.verbenatally.core;

import java.util.Objects;
import java.util.regex.Pattern;

/** Checks the text form that all string ids share. */
final class Names {
    private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9._:-]{1,128}");

    private Names() {}

    /** Throws an {@link IllegalArgumentException} that starts with {@code what} if the value is not a valid id. */
    static void check(String what, String value) {
        Objects.requireNonNull(value, what);
        if (!ALLOWED.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    what + " must be 1 to 128 characters out of letters, digits, '.', '_', ':' and '-'");
        }
    }
}
