package org.verbenatally.peer;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.vertx.core.buffer.Buffer;
import org.verbenatally.wire.DeltaPart;

/** The difference between two documents by lines. A published change mostly touches a few of thousands of lines. */
final class DocumentDelta {
    /** Costs of one part beside its text, in bytes; an estimate to compare a delta with the whole document. */
    private static final int PART_BYTES = 12;

    private DocumentDelta() {}

    /** Returns the parts from which {@link #apply} builds the document. */
    static List<DeltaPart> between(byte[] base, byte[] document) {
        List<ByteBuffer> baseLines = lines(base);
        Map<ByteBuffer, Integer> places = HashMap.newHashMap(baseLines.size());
        for (int i = 0; i < baseLines.size(); i++) {
            places.putIfAbsent(baseLines.get(i), i);
        }
        List<DeltaPart> parts = new ArrayList<>();
        Buffer text = Buffer.buffer();
        DeltaPart copy = null;
        for (ByteBuffer line : lines(document)) {
            int next = copy == null ? baseLines.size() : copy.getFirstLine() + copy.getLines();
            if (next < baseLines.size() && baseLines.get(next).equals(line)) {
                copy.setLines(copy.getLines() + 1);
                continue;
            }
            Integer place = places.get(line);
            if (place == null) {
                copy = null;
                byte[] bytes = new byte[line.remaining()];
                line.get(bytes);
                text.appendBytes(bytes);
                continue;
            }
            flush(text, parts);
            text = Buffer.buffer();
            copy = new DeltaPart().setFirstLine(place).setLines(1);
            parts.add(copy);
        }
        flush(text, parts);
        return parts;
    }

    private static void flush(Buffer text, List<DeltaPart> parts) {
        if (text.length() > 0) {
            parts.add(new DeltaPart().setText(text.getBytes()));
        }
    }

    /** Returns about how many bytes the parts take in a frame. */
    static int size(List<DeltaPart> parts) {
        return parts.stream()
                .mapToInt(p -> PART_BYTES + (p.isSetText() ? p.getText().length : 0))
                .sum();
    }

    /**
     * Builds the document.
     *
     * @throws IllegalArgumentException if a part names lines that the base lacks or the result is above the limit
     */
    static byte[] apply(byte[] base, List<DeltaPart> parts, int limit) {
        int[] starts = starts(base);
        Buffer document = Buffer.buffer();
        for (DeltaPart p : parts) {
            if (p.isSetText()) {
                document.appendBytes(p.getText());
            } else {
                int first = p.getFirstLine();
                int count = p.getLines();
                if (first < 0 || count < 1 || first > starts.length - 1 - count) {
                    throw new IllegalArgumentException("delta names lines that the base document lacks");
                }
                document.appendBytes(base, starts[first], starts[first + count] - starts[first]);
            }
            if (document.length() > limit) {
                throw new IllegalArgumentException("document is longer than " + limit + " bytes");
            }
        }
        return document.getBytes();
    }

    /** Returns the offset of each line and, at the end, the length. */
    private static int[] starts(byte[] document) {
        int[] starts = new int[document.length + 2];
        int n = document.length == 0 ? 0 : 1;
        for (int i = 0; i < document.length; i++) {
            if (document[i] == '\n' && i + 1 < document.length) {
                starts[n++] = i + 1;
            }
        }
        starts[n++] = document.length;
        return java.util.Arrays.copyOf(starts, n);
    }

    private static List<ByteBuffer> lines(byte[] document) {
        int[] starts = starts(document);
        List<ByteBuffer> lines = new ArrayList<>(starts.length);
        for (int i = 0; i + 1 < starts.length; i++) {
            lines.add(ByteBuffer.wrap(document, starts[i], starts[i + 1] - starts[i])
                    .slice());
        }
        return lines;
    }
}
