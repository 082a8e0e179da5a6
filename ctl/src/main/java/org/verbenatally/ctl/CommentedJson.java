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

    private String pendingComment = "";
    private boolean first = true;

    /** Opens an object; {@code field} is {@code null} inside an array and at the top. */
    CommentedJson object(String field) {
        return start(field, '{', '}');
    }

    /** Opens an array. */
    CommentedJson array(String field) {
        return start(field, '[', ']');
    }

    /** Closes the innermost object or array. */
    CommentedJson end() {
        char close = open.pop();
        text.append(pendingComment);
        pendingComment = "";
        newLine();
        text.append(close);
        first = false;
        return this;
    }

    /** Writes a text, number or boolean, with a comment that says where it came from. */
    CommentedJson value(String field, Object value, String comment) {
        separate();
        name(field);
        if (value instanceof String string) {
            text.append('"')
                    .append(JsonStringEncoder.getInstance().quoteAsString(string))
                    .append('"');
        } else {
            text.append(Objects.requireNonNull(value, field));
        }
        pendingComment = comment.isEmpty() ? "" : " // " + oneLine(comment);
        return this;
    }

    /** Writes a comment on a line of its own before the next value. */
    CommentedJson comment(String comment) {
        separate();
        text.append("// ").append(oneLine(comment));
        // The next value starts on a new line without a comma after the comment.
        first = true;
        return this;
    }

    /** Returns the document, which ends with a line feed. */
    @Override
    public String toString() {
        return text + "\n";
    }

    private CommentedJson start(String field, char opening, char closing) {
        if (!open.isEmpty()) {
            separate();
        }
        name(field);
        text.append(opening);
        open.push(closing);
        first = true;
        return this;
    }

    private void name(String field) {
        if (field != null) {
            text.append('"').append(field).append("\": ");
        }
    }

    private void separate() {
        if (!first) {
            text.append(',');
        }
        text.append(pendingComment);
        pendingComment = "";
        newLine();
        first = false;
    }

    private void newLine() {
        text.append('\n').append(INDENT.repeat(open.size()));
    }

    private static String oneLine(String comment) {
        return comment.replaceAll("\\s+", " ");
    }
}
