package org.verbenatally.standin;

import org.verbenatally.core.GenerationId;

/**
 * The text of a token that the engine stand-in produces. It names the generation and the offset, so that a checker can
 * tell for each delivered token which generation it came from.
 */
public final class TokenText {
    private static final int PREFIX = 8;

    private TokenText() {}

    /** Returns the text of a token: the first eight digits of the generation id, a dot, the offset and a space. */
    public static String of(GenerationId generation, long offset) {
        return generation.value().substring(0, PREFIX) + "." + offset + " ";
    }

    /** Returns whether a text is that of the given generation and offset. */
    public static boolean matches(String text, GenerationId generation, long offset) {
        return of(generation, offset).equals(text);
    }

    /** Returns whether a whole answer consists of exactly the first {@code tokens} tokens of a generation. */
    public static boolean isWhole(String answer, GenerationId generation, long tokens) {
        int at = 0;
        for (long offset = 0; offset < tokens; offset++) {
            String expected = of(generation, offset);
            if (!answer.startsWith(expected, at)) {
                return false;
            }
            at += expected.length();
        }
        return at == answer.length();
    }
}
