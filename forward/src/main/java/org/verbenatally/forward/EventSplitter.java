package org.verbenatally.forward;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.vertx.core.buffer.Buffer;

/**
 * Cuts the bytes of an event stream into whole events, so that an event which breaks off is never passed on. Reads the
 * id of the last whole event.
 */
final class EventSplitter {
    /** Longest event; a longer one is not an event stream's. */
    static final int MAX_EVENT_BYTES = 1 << 20;

    /** The end of a line and an empty one: LF CR LF. */
    private static final int LONGEST_EMPTY_LINE = 3;

    private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);

    /** What a target sends is no stream of events. */
    static final class EndlessEventException extends Exception {
        private static final long serialVersionUID = 1;

        EndlessEventException() {
            super("event is longer than " + MAX_EVENT_BYTES + " bytes");
        }
    }

    private Buffer rest = Buffer.buffer();
    private String lastId;
    private long count;

    /**
     * Takes the next bytes and returns the events that are whole now, empty if none is.
     *
     * @throws EndlessEventException if an event is too long
     */
    Buffer take(Buffer part) throws EndlessEventException {
        // An empty line may have begun in what was left.
        int seen = Math.max(0, rest.length() - LONGEST_EMPTY_LINE);
        Buffer all = rest.length() == 0 ? part : rest.appendBuffer(part);
        int end = endOfLastEvent(all, seen);
        if (all.length() - end > MAX_EVENT_BYTES) {
            throw new EndlessEventException();
        }
        rest = end == all.length() ? Buffer.buffer() : Buffer.buffer(all.getBytes(end, all.length()));
        Buffer whole = all.slice(0, end);
        readIds(whole);
        return whole;
    }

    /** An event ends with an empty line; lines end with LF or CRLF. */
    private static int endOfLastEvent(Buffer all, int from) {
        for (int i = all.length() - 1; i > from; i--) {
            if (all.getByte(i) == '\n') {
                byte before = all.getByte(i - 1);
                boolean empty = before == '\n' || before == '\r' && i > 1 && all.getByte(i - 2) == '\n';
                if (empty) {
                    return i + 1;
                }
            }
        }
        return 0;
    }

    private void readIds(Buffer whole) {
        int start = 0;
        for (int i = 0; i < whole.length(); i++) {
            if (whole.getByte(i) == '\n') {
                if (startsWithId(whole, start, i)) {
                    count++;
                    lastId = whole.getString(start + ID.length, i, "UTF-8").strip();
                }
                start = i + 1;
            }
        }
    }

    private static boolean startsWithId(Buffer whole, int start, int end) {
        if (end - start <= ID.length) {
            return false;
        }
        for (int i = 0; i < ID.length; i++) {
            if (whole.getByte(start + i) != ID[i]) {
                return false;
            }
        }
        return true;
    }

    /** Returns the id of the last whole event. */
    Optional<String> lastId() {
        return Optional.ofNullable(lastId);
    }

    /** Returns the number of whole events that have an id. */
    long count() {
        return count;
    }

    /** Tells whether bytes of an event are left that has not ended. */
    boolean hasRest() {
        return rest.length() > 0;
    }

    /** Drops the bytes of an event that will not end. */
    void dropRest() {
        rest = Buffer.buffer();
    }
}
