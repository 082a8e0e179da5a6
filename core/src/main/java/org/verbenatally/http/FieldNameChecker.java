package org.verbenatally.http;

import java.util.BitSet;

import io.netty.util.ByteProcessor;

/**
 * Reads the heads of the responses on a connection, byte by byte, and finds field names that are no tokens (RFC 9110,
 * section 5.1). The decoder ends a name at its first white space and takes a line that begins with white space for a
 * part of the field before, neither of which can be told from the fields that it reports. White space right before the
 * colon is accepted, as it has to be removed in front of callers (RFC 9112, section 5.1); folded lines are not.
 */
final class FieldNameChecker implements ByteProcessor {
    private static final BitSet TOKEN = new BitSet();
    private static final int FIRST_INTERIM = 100;
    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int FIRST_FINAL = 200;
    private static final int DECIMAL = 10;
    private static final int MAX_STATUS = 999;

    static {
        TOKEN.set('0', '9' + 1);
        TOKEN.set('A', 'Z' + 1);
        TOKEN.set('a', 'z' + 1);
        "!#$%&'*+-.^_`|~".chars().forEach(TOKEN::set);
    }

    /** What the next byte belongs to. */
    private enum State {
        /** White space or control bytes before the status line. */
        START,
        VERSION,
        BEFORE_STATUS,
        STATUS,
        REASON,
        /** The first byte of a field, or of the line that ends the head. */
        LINE_START,
        /** The second byte of the line that ends the head. */
        LINE_FEED,
        NAME,
        /** White space between a name and its colon. */
        AFTER_NAME,
        VALUE,
        /** The head of the final response has ended; its body is not read. */
        BODY,
        MALFORMED
    }

    private State state = State.BODY;
    private int status;

    /** Expects the head of a response next. */
    void onRequest() {
        if (state != State.MALFORMED) {
            state = State.START;
        }
    }

    /** Returns whether a name was found that is no token. */
    boolean isMalformed() {
        return state == State.MALFORMED;
    }

    /** Reads one byte; returns whether the next one is of interest. */
    @Override
    public boolean process(byte value) {
        state = next(value & 0xff);
        return state != State.BODY && state != State.MALFORMED;
    }

    private State next(int c) {
        return switch (state) {
            case START -> isSpaceOrControl(c) ? State.START : startStatusLine();
            case VERSION -> c == '\n' ? State.LINE_START : isSpaceOrControl(c) ? State.BEFORE_STATUS : State.VERSION;
            case BEFORE_STATUS -> c != '\n' && isSpaceOrControl(c) ? State.BEFORE_STATUS : readStatus(c);
            case STATUS -> readStatus(c);
            case REASON, VALUE -> c == '\n' ? State.LINE_START : state;
            case LINE_START -> startLine(c);
            case LINE_FEED -> c == '\n' ? endHead() : State.MALFORMED;
            case NAME -> TOKEN.get(c) ? State.NAME : endName(c);
            case AFTER_NAME -> endName(c);
            case BODY, MALFORMED -> state;
        };
    }

    private static boolean isSpaceOrControl(int c) {
        return c == ' ' || Character.isISOControl(c);
    }

    private State startStatusLine() {
        status = 0;
        return State.VERSION;
    }

    private State readStatus(int c) {
        if (c >= '0' && c <= '9' && status <= MAX_STATUS) {
            status = DECIMAL * status + c - '0';
            return State.STATUS;
        }
        return c == '\n' ? State.LINE_START : State.REASON;
    }

    private State startLine(int c) {
        return switch (c) {
            case '\n' -> endHead();
            case '\r' -> State.LINE_FEED;
            default -> TOKEN.get(c) ? State.NAME : State.MALFORMED;
        };
    }

    private static State endName(int c) {
        return switch (c) {
            case ':' -> State.VALUE;
            case ' ', '\t' -> State.AFTER_NAME;
            default -> State.MALFORMED;
        };
    }

    private State endHead() {
        boolean isInterim = status >= FIRST_INTERIM && status < FIRST_FINAL && status != SWITCHING_PROTOCOLS;
        return isInterim ? State.START : State.BODY;
    }
}
