package org.verbenatally.standin;

import org.verbenatally.core.GenerationId;

/**
 * Text of the tokens that the engine stand-in produces. It contains the generation and the offset, so that a checker
 * can determine which generation each delivered token came from.
 */
public final class TokenText {
    private static final int ID_PREFIX_LENGTH = 8;

    private TokenText() {}

    /** Returns the text of a token: the first eight digits of the generation id, a dot, the offset and a space. */
    public static String of(GenerationId generation, long offset) {
        return generation.value().substring(0, ID_PREFIX_LENGTH) + "." + offset + " ";
    }

    /** Returns whether a text is that of the token at the given offset of a generation. */
    public static boolean matches(String text, GenerationId generation, long offset) {
        return of(generation, offset).equals(text);
    }

    /** Returns whether a response consists of exactly the first {@code tokens} tokens of a generation. */
    public static boolean isComplete(String responseText, GenerationId generation, long tokens) {
        int position = 0;
        for (long offset = 0; offset < tokens; offset++) {
            String expected = of(generation, offset);
            if (!responseText.startsWith(expected, position)) {
                return false;
            }
            position += expected.length();
        }
        return position == responseText.length();
    }
}
