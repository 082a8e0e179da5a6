package org.verbenatally.core;

/**
 * Identifies a part of a prompt that several requests may have in common, such as a document or an instruction.
 *
 * @param value 1 to 128 characters: letters, digits, dots, underscores, colons and hyphens
 */
public record PromptPartId(String value) {

    /**
     * Checks the value.
     *
     * @throws IllegalArgumentException if the value is empty, is too long or contains any other character
     */
    public PromptPartId {
        IdSyntax.check("prompt part id", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
