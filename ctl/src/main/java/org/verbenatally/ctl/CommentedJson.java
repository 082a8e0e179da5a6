package org.verbenatally.ctl;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;

import com.fasterxml.jackson.core.io.JsonStringEncoder;

/** Writes indented JSON in which each value may carry a comment at the end of its line. */
final class CommentedJson {
    private static final String INDENT = "  ";

    private final StringBuilder text = new StringBuilder();
    /** Closing brackets of the open objects and arrays, innermost first. */
    private final Deque<Character> open = new ArrayDeque<>();

    /** Comment of the last value, written after the comma that may follow the value. */
    private String pendingComment = "";
    /** Whether no comma may precede the next value or comment. */
    private boolean omitComma = true;

    /** Opens an object; {@code field} is {@code null} inside an array and at the top level. */
    CommentedJson beginObject(String field) {
        return begin(field, '{', '}');
    }

    /** Opens an array. */
    CommentedJson beginArray(String field) {
        return begin(field, '[', ']');
    }

    /** Closes the innermost object or array. */
    CommentedJson end() {
        char close = open.pop();
        text.append(pendingComment);
        pendingComment = "";
        writeNewLine();
        text.append(close);
        omitComma = false;
        return this;
    }

    /** Writes a string, number or boolean, followed by the comment at the end of its line if it is not empty. */
    CommentedJson value(String field, Object value, String comment) {
        writeSeparator();
        writeName(field);
        if (value instanceof String string) {
            text.append('"')
                    .append(JsonStringEncoder.getInstance().quoteAsString(string))
                    .append('"');
        } else {
            text.append(Objects.requireNonNull(value, field));
        }
        pendingComment = comment.isEmpty() ? "" : " // " + toSingleLine(comment);
        return this;
    }

    /** Writes a comment on a line of its own before the next value. */
    CommentedJson comment(String comment) {
        writeSeparator();
        text.append("// ").append(toSingleLine(comment));
        // The next value starts on a new line without a comma after the comment.
        omitComma = true;
        return this;
    }

    /** Returns the document, which ends with a line feed. */
    @Override
    public String toString() {
        return text + "\n";
    }

    private CommentedJson begin(String field, char opening, char closing) {
        if (!open.isEmpty()) {
            writeSeparator();
        }
        writeName(field);
        text.append(opening);
        open.push(closing);
        omitComma = true;
        return this;
    }

    private void writeName(String field) {
        if (field != null) {
            text.append('"').append(field).append("\": ");
        }
    }

    private void writeSeparator() {
        if (!omitComma) {
            text.append(',');
        }
        text.append(pendingComment);
        pendingComment = "";
        writeNewLine();
        omitComma = false;
    }

    private void writeNewLine() {
        text.append('\n').append(INDENT.repeat(open.size()));
    }

    private static String toSingleLine(String comment) {
        return comment.replaceAll("\\s+", " ");
    }
}
