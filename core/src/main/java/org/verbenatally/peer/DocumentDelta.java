package org.verbenatally.peer;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.vertx.core.buffer.Buffer;
import org.verbenatally.wire.DeltaPart;

/** Line-based difference between two documents. A published change usually touches a few of thousands of lines. */
final class DocumentDelta {
    /** Estimated size of a part without its text, in bytes; used to compare a delta with the complete document. */
    private static final int PART_OVERHEAD_BYTES = 12;

    private DocumentDelta() {}

    /** Returns the parts from which {@link #apply} rebuilds the document. */
    static List<DeltaPart> between(byte[] base, byte[] document) {
        List<ByteBuffer> baseLines = lines(base);
        Map<ByteBuffer, Integer> firstPositions = HashMap.newHashMap(baseLines.size());
        for (int i = 0; i < baseLines.size(); i++) {
            firstPositions.putIfAbsent(baseLines.get(i), i);
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
            Integer position = firstPositions.get(line);
            if (position == null) {
                copy = null;
                byte[] bytes = new byte[line.remaining()];
                line.get(bytes);
                text.appendBytes(bytes);
                continue;
            }
            appendText(text, parts);
            text = Buffer.buffer();
            copy = new DeltaPart().setFirstLine(position).setLines(1);
            parts.add(copy);
        }
        appendText(text, parts);
        return parts;
    }

    private static void appendText(Buffer text, List<DeltaPart> parts) {
        if (text.length() > 0) {
            parts.add(new DeltaPart().setText(text.getBytes()));
        }
    }

    /** Returns the estimated size of the parts in a frame, in bytes. */
    static int estimatedSize(List<DeltaPart> parts) {
        return parts.stream()
                .mapToInt(p -> PART_OVERHEAD_BYTES + (p.isSetText() ? p.getText().length : 0))
                .sum();
    }

    /**
     * Rebuilds a document from its base and the parts of a delta.
     *
     * @param limit maximum length of the document in bytes
     * @throws IllegalArgumentException if a part refers to lines that the base does not have, or if the document is
     *     longer than the limit
     */
    static byte[] apply(byte[] base, List<DeltaPart> parts, int limit) {
        int[] offsets = lineOffsets(base);
        Buffer document = Buffer.buffer();
        for (DeltaPart p : parts) {
            if (p.isSetText()) {
                document.appendBytes(p.getText());
            } else {
                int first = p.getFirstLine();
                int count = p.getLines();
                if (first < 0 || count < 1 || first > offsets.length - 1 - count) {
                    throw new IllegalArgumentException("delta refers to lines that the base document does not have");
                }
                document.appendBytes(base, offsets[first], offsets[first + count] - offsets[first]);
            }
            if (document.length() > limit) {
                throw new IllegalArgumentException("document is longer than " + limit + " bytes");
            }
        }
        return document.getBytes();
    }

    /** Returns the byte offset of each line, followed by the length of the document. */
    private static int[] lineOffsets(byte[] document) {
        int[] offsets = new int[document.length + 2];
        int n = document.length == 0 ? 0 : 1;
        for (int i = 0; i < document.length; i++) {
            if (document[i] == '\n' && i + 1 < document.length) {
                offsets[n++] = i + 1;
            }
        }
        offsets[n++] = document.length;
        return java.util.Arrays.copyOf(offsets, n);
    }

    private static List<ByteBuffer> lines(byte[] document) {
        int[] offsets = lineOffsets(document);
        List<ByteBuffer> lines = new ArrayList<>(offsets.length);
        for (int i = 0; i + 1 < offsets.length; i++) {
            lines.add(ByteBuffer.wrap(document, offsets[i], offsets[i + 1] - offsets[i])
                    .slice());
        }
        return lines;
    }
}
