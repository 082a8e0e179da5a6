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

/** Encodes and decodes frames: a 4-byte big-endian length, then the frame in Thrift's compact protocol. */
final class FrameCodec {
    /** Maximum size of a frame without its length field, in bytes. */
    static final int MAX_FRAME = 1 << 20;

    static final int LENGTH_BYTES = 4;

    private static final int RECURSION_LIMIT = 16;
    private static final int INITIAL_BYTES = 256;

    private FrameCodec() {}

    /** Thrown for a frame that cannot be decoded, or that cannot be encoded or is too large to be sent. */
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
                throw new BadFrameException(
                        "frame of " + out.length() + " bytes exceeds the limit of " + MAX_FRAME, null);
            }
            return Buffer.buffer(LENGTH_BYTES + out.length())
                    .appendInt(out.length())
                    .appendBytes(out.getArray(), 0, out.length());
        } catch (TException e) {
            throw new BadFrameException("frame cannot be written: " + e.getMessage(), e);
        }
    }

    /** Decodes a frame without its length field. */
    static PeerFrame decode(Buffer body) throws BadFrameException {
        Objects.requireNonNull(body, "body");
        try {
            byte[] bytes = body.getBytes();
            // The message size limits the declared lengths of lists and strings, so that a short frame cannot cause a
            // large allocation.
            var limits = new TConfiguration(bytes.length, bytes.length, RECURSION_LIMIT);
            var frame = new PeerFrame();
            frame.read(new TCompactProtocol(new TMemoryInputTransport(limits, bytes)));
            if (frame.getSetField() == null) {
                throw new BadFrameException("frame of unknown type", null);
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

    /** Inflates a document in zlib format to at most {@code limit} bytes. */
    static byte[] inflate(byte[] body, int limit) throws BadFrameException {
        var inflater = new Inflater();
        try {
            inflater.setInput(body);
            var out = Buffer.buffer(Math.min(limit, body.length * 2));
            byte[] chunk = new byte[1 << 13];
            while (!inflater.finished()) {
                int n = inflater.inflate(chunk);
                if (n == 0 || out.length() + n > limit) {
                    throw new BadFrameException(
                            "compressed document is truncated or its size in bytes exceeds " + limit, null);
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
