package org.verbenatally.forward;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Optional;

import io.vertx.core.buffer.Buffer;

/**
 * Splits the bytes of an event stream into complete events, so that an event that breaks off is never passed on. Reads
 * the id of the last complete event.
 */
final class EventSplitter implements AutoCloseable {
    /** Longest event; data with a longer one is not an event stream. */
    static final int MAX_EVENT_BYTES = 1 << 20;

    /**
     * Bytes of an incomplete event that are kept without a reservation, so that streams of usual events do not depend
     * on the memory that others take.
     */
    static final int UNRESERVED_BYTES = 16 << 10;

    /** Length of a line end and an empty line, in bytes: LF CR LF. */
    private static final int MAX_EMPTY_LINE_BYTES = 3;

    private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);

    /** The data that a target sends is not an event stream, or there is no memory for an event of such length. */
    static final class EventTooLongException extends Exception {
        private static final long serialVersionUID = 1;

        EventTooLongException(String message) {
            super(message);
        }
    }

    private final BodyMemory.Reservation memory;
    private Buffer incomplete = Buffer.buffer();
    private String lastId;
    private long count;

    /**
     * Creates a splitter.
     *
     * @param memory limits the memory that the incomplete events of all streams take
     */
    EventSplitter(BodyMemory memory) {
        this.memory = Objects.requireNonNull(memory, "memory").open();
    }

    /**
     * Appends a chunk and returns the events that are complete now, empty if none is.
     *
     * @throws EventTooLongException if an event is too long, or too long for the memory that is left; it is discarded
     */
    Buffer append(Buffer chunk) throws EventTooLongException {
        // An empty line may have started in the bytes that were left.
        int searchFrom = Math.max(0, incomplete.length() - MAX_EMPTY_LINE_BYTES);
        Buffer all = incomplete.length() == 0 ? chunk : incomplete.appendBuffer(chunk);
        int end = endOfLastEvent(all, searchFrom);
        keepIncomplete(all, end);
        Buffer complete = all.slice(0, end);
        parseIds(complete);
        return complete;
    }

    private void keepIncomplete(Buffer all, int start) throws EventTooLongException {
        int length = all.length() - start;
        int needed = Math.max(0, length - UNRESERVED_BYTES);
        if (length > MAX_EVENT_BYTES) {
            discardIncompleteEvent();
            throw new EventTooLongException("event is longer than " + MAX_EVENT_BYTES + " bytes");
        }
        if (!memory.resize(needed)) {
            discardIncompleteEvent();
            throw new EventTooLongException("no memory for an event of more than " + length + " bytes");
        }
        // Copying the kept bytes for each further chunk would cost far more than receiving them.
        if (start > 0 || all != incomplete) {
            incomplete = Buffer.buffer(all.getBytes(start, all.length()));
        }
    }

    /** Returns whether a chunk holds the end of an event, as far as the chunk alone can tell. */
    static boolean endsEvent(Buffer chunk) {
        return endOfLastEvent(chunk, 0) > 0;
    }

    /**
     * Returns the index after the last event, 0 if none is complete. An event ends with an empty line; lines end with
     * LF or CRLF.
     */
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

    private void parseIds(Buffer complete) {
        int start = 0;
        for (int i = 0; i < complete.length(); i++) {
            if (complete.getByte(i) == '\n') {
                if (startsWithId(complete, start, i)) {
                    count++;
                    lastId = complete.getString(start + ID.length, i, "UTF-8").strip();
                }
                start = i + 1;
            }
        }
    }

    private static boolean startsWithId(Buffer complete, int start, int end) {
        if (end - start <= ID.length) {
            return false;
        }
        for (int i = 0; i < ID.length; i++) {
            if (complete.getByte(start + i) != ID[i]) {
                return false;
            }
        }
        return true;
    }

    /** Returns the id of the last complete event. */
    Optional<String> lastId() {
        return Optional.ofNullable(lastId);
    }

    /** Returns the number of complete events that have an id. */
    long count() {
        return count;
    }

    /** Returns whether bytes of an event are left that has not ended. */
    boolean hasIncompleteEvent() {
        return incomplete.length() > 0;
    }

    /** Discards the bytes of an event that will not end, and releases their memory. */
    void discardIncompleteEvent() {
        incomplete = Buffer.buffer();
        memory.resize(0);
    }

    /** Discards what is left; a further incomplete event gets no memory. */
    @Override
    public void close() {
        incomplete = Buffer.buffer();
        memory.close();
    }
}
