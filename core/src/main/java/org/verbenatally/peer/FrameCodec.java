package org.verbenatally.peer;

import java.util.Objects;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

import io.vertx.core.buffer.Buffer;
import org.apache.thrift.TConfiguration;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.verbenatally.wire.PeerFrame;

/** Turns frames into bytes and back: a 4-byte big-endian length, then the frame in the compact protocol. */
final class FrameCodec {
    /** Largest frame without its length, in bytes. */
    static final int MAX_FRAME = 1 << 20;

    static final int LENGTH_BYTES = 4;

    private static final int RECURSION_LIMIT = 16;
    private static final int INITIAL_BYTES = 256;

    private FrameCodec() {}

    /** A frame that cannot be read or is too large to be sent. */
    static final class BadFrameException extends Exception {
        private static final long serialVersionUID = 1;

        BadFrameException(String message, Throwable cause) {
            super(message, cause);
        }
    }

    static Buffer encode(PeerFrame frame) throws BadFrameException {
        try {
            TMemoryBuffer out = new TMemoryBuffer(INITIAL_BYTES);
            frame.write(new TCompactProtocol(out));
            if (out.length() > MAX_FRAME) {
                throw new BadFrameException("frame has " + out.length() + " bytes, at most " + MAX_FRAME, null);
            }
            return Buffer.buffer(LENGTH_BYTES + out.length())
                    .appendInt(out.length())
                    .appendBytes(out.getArray(), 0, out.length());
        } catch (TException e) {
            throw new BadFrameException("frame cannot be written: " + e.getMessage(), e);
        }
    }

    /** Reads a frame without its length. */
    static PeerFrame decode(Buffer body) throws BadFrameException {
        Objects.requireNonNull(body, "body");
        try {
            byte[] bytes = body.getBytes();
            // The message size bounds what lists and strings may claim, so a short frame cannot ask for much memory.
            var limits = new TConfiguration(bytes.length, bytes.length, RECURSION_LIMIT);
            var frame = new PeerFrame();
            frame.read(new TCompactProtocol(new TMemoryInputTransport(limits, bytes)));
            if (frame.getSetField() == null) {
                throw new BadFrameException("frame of no known type", null);
            }
            return frame;
        } catch (TException | RuntimeException e) {
            throw new BadFrameException("malformed frame: " + e.getMessage(), e);
        }
    }

    static byte[] deflate(byte[] body) {
        var deflater = new Deflater();
        try {
            deflater.setInput(body);
            deflater.finish();
            var out = Buffer.buffer(body.length / 2 + INITIAL_BYTES);
            byte[] chunk = new byte[1 << 13];
            while (!deflater.finished()) {
                out.appendBytes(chunk, 0, deflater.deflate(chunk));
            }
            return out.getBytes();
        } finally {
            deflater.end();
        }
    }

    /** Inflates at most {@code limit} bytes. */
    static byte[] inflate(byte[] body, int limit) throws BadFrameException {
        var inflater = new Inflater();
        try {
            inflater.setInput(body);
            var out = Buffer.buffer(Math.min(limit, body.length * 2));
            byte[] chunk = new byte[1 << 13];
            while (!inflater.finished()) {
                int n = inflater.inflate(chunk);
                if (n == 0 || out.length() + n > limit) {
                    throw new BadFrameException("compressed document is cut off or longer than " + limit, null);
                }
                out.appendBytes(chunk, 0, n);
            }
            return out.getBytes();
        } catch (DataFormatException e) {
            throw new BadFrameException("document is not in zlib format", e);
        } finally {
            inflater.end();
        }
    }
}
