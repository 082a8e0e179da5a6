package org.verbenatally.peer;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import org.jboss.logging.Logger;
import org.verbenatally.peer.FrameCodec.BadFrameException;
import org.verbenatally.peer.MemberRecord.Run;
import org.verbenatally.wire.ForwardResult;
import org.verbenatally.wire.PeerFrame;

/** A connection to a peer. A virtual thread handles received frames in order; any thread may send frames. */
final class Link {
    private static final Logger LOG = Logger.getLogger(Link.class);

    /** The socket is paused when this many frames are queued for the reading thread. */
    private static final int MAX_QUEUED_FRAMES = 64;

    /** Bytes that may be queued for a slow peer before {@link #send} fails; must hold at least one frame. */
    private static final int MAX_WRITE_QUEUE_BYTES = 2 * FrameCodec.MAX_FRAME;

    private static final Buffer END = Buffer.buffer();

    /** Handles the frames that a link receives, and its end. */
    interface Listener {
        /** Handles a frame; an {@link IllegalArgumentException} closes the link, as a malformed frame does. */
        void onFrame(Link link, PeerFrame frame) throws BadFrameException;

        /** Called once, when the link is closed. */
        void onClosed(Link link, String reason);
    }

    /** Bytes sent and received on all links of an instance, and bytes sent in configuration documents and deltas. */
    record Traffic(AtomicLong sent, AtomicLong received, AtomicLong config) {}

    final int id;
    final boolean dialled;
    final boolean callsOnly;
    final CompletableFuture<Run> hello = new CompletableFuture<>();
    final CompletableFuture<Void> firstGossip = new CompletableFuture<>();
    final Map<Long, CompletableFuture<ForwardResult>> calls = new ConcurrentHashMap<>();
    final Map<Run, CompletableFuture<Void>> transfers = new ConcurrentHashMap<>();
    final AtomicInteger inProgress = new AtomicInteger();
    volatile long openedAt;
    volatile long lastReceived;
    volatile long lastUsed;
    volatile boolean peerCallsOnly;
    final GossipState gossip = new GossipState();

    private final NetSocket socket;
    private final Listener listener;
    private final Traffic traffic;
    private final BlockingQueue<Buffer> receivedFrames = new LinkedBlockingQueue<>();
    private final AtomicBoolean closed = new AtomicBoolean();
    private volatile String reason = "closed by the peer";

    /** What has been sent on this link, and which records each side has asked for. Guarded by its own monitor. */
    static final class GossipState {
        long sentStateSerial;
        long sentHeartbeatSerial;
        boolean ownRecordSent;
        boolean leavingReceived;
        long sentLoadsSerial;
        long sentPublishedSerial;
        long sentTraitReportsSerial;
        long sentEvacuationsSerial;
        long nextStateTime;
        long nextFrameTime;
        final Set<Integer> wantedByPeer = new HashSet<>();
        final Set<Integer> unknownHashes = new HashSet<>();
        final Map<Object, Object> sentSuspects = new HashMap<>();

        synchronized void addUnknown(Collection<Integer> hashes) {
            unknownHashes.addAll(hashes);
        }

        synchronized void addWantedByPeer(Collection<Integer> hashes) {
            wantedByPeer.addAll(hashes);
        }
    }

    Link(int id, NetSocket socket, boolean dialled, boolean callsOnly, long now, Listener listener, Traffic traffic) {
        this.id = id;
        this.socket = socket;
        this.dialled = dialled;
        this.callsOnly = callsOnly;
        this.listener = listener;
        this.traffic = traffic;
        openedAt = now;
        lastReceived = now;
        lastUsed = now;
        gossip.nextStateTime = now;
        gossip.nextFrameTime = now;
        socket.setWriteQueueMaxSize(MAX_WRITE_QUEUE_BYTES);
    }

    /**
     * Starts reading. Must be called on the socket's event loop, so that no bytes are lost before the handler is set.
     */
    void start() {
        RecordParser parser = RecordParser.newFixed(FrameCodec.LENGTH_BYTES);
        boolean[] inBody = {false};
        parser.handler(buffer -> {
            if (inBody[0]) {
                inBody[0] = false;
                parser.fixedSizeMode(FrameCodec.LENGTH_BYTES);
                enqueue(buffer);
                return;
            }
            int length = buffer.getInt(0);
            if (length < 1 || length > FrameCodec.MAX_FRAME) {
                close("frame of " + length + " bytes, expected 1 to " + FrameCodec.MAX_FRAME);
                return;
            }
            inBody[0] = true;
            parser.fixedSizeMode(length);
        });
        socket.handler(buffer -> {
            traffic.received().addAndGet(buffer.length());
            if (!closed.get()) {
                parser.handle(buffer);
            }
        });
        socket.exceptionHandler(e -> close("connection failed: " + e.getMessage()));
        socket.closeHandler(v -> close(reason));
        Thread.ofVirtual().name("link-" + id).start(this::read);
    }

    private void enqueue(Buffer frame) {
        receivedFrames.add(frame);
        if (receivedFrames.size() >= MAX_QUEUED_FRAMES) {
            socket.pause();
        }
    }

    private void read() {
        try {
            for (Buffer frame = receivedFrames.take(); frame != END; frame = receivedFrames.take()) {
                if (receivedFrames.isEmpty()) {
                    socket.resume();
                }
                if (!closed.get()) {
                    listener.onFrame(this, FrameCodec.decode(frame));
                }
            }
        } catch (BadFrameException | IllegalArgumentException e) {
            // The peer may be faulty or run another version; only its own link is closed.
            LOG.warnf("peer: closing link to %s: %s", this, e.getMessage());
            close(e.getMessage());
        } catch (InterruptedException e) {
            close("reading thread was interrupted");
        } catch (RuntimeException e) {
            LOG.errorf(e, "peer: reading from %s failed", this);
            close("internal error");
        }
    }

    /** Sends a frame and returns whether it was written to the connection. */
    boolean send(PeerFrame frame) {
        if (closed.get() || socket.writeQueueFull()) {
            return false;
        }
        try {
            Buffer bytes = FrameCodec.encode(frame);
            traffic.sent().addAndGet(bytes.length());
            if (frame.isSetConfigDocument() || frame.isSetConfigDelta()) {
                traffic.config().addAndGet(bytes.length());
            }
            socket.write(bytes);
            return true;
        } catch (BadFrameException e) {
            LOG.warnf("peer: %s not sent to %s: %s", frame.getSetField(), this, e.getMessage());
            return false;
        }
    }

    boolean isReady() {
        return !closed.get() && hello.isDone() && !hello.isCompletedExceptionally();
    }

    boolean isClosed() {
        return closed.get();
    }

    /** Returns whether gossip is exchanged on this link; not if either side opened it for calls only. */
    boolean carriesGossip() {
        return !callsOnly && !peerCallsOnly;
    }

    /** Returns whether either side is waiting for a response on this link. */
    boolean isBusy() {
        return !calls.isEmpty() || !transfers.isEmpty() || inProgress.get() > 0;
    }

    /** Returns the run of the peer, or {@code null} before its hello. */
    Run peer() {
        return hello.getNow(null);
    }

    void close(String why) {
        if (!closed.compareAndSet(false, true)) {
            return;
        }
        reason = why;
        socket.close();
        receivedFrames.add(END);
        var failure = new LinkClosedException(why);
        hello.completeExceptionally(failure);
        firstGossip.completeExceptionally(failure);
        calls.values().forEach(c -> c.completeExceptionally(failure));
        transfers.values().forEach(c -> c.completeExceptionally(failure));
        listener.onClosed(this, why);
    }

    @Override
    public String toString() {
        Run run = hello.isCompletedExceptionally() ? null : hello.getNow(null);
        return run == null
                ? String.valueOf(socket.remoteAddress())
                : run.instance().value();
    }

    /** Thrown if the link is closed before a response arrives. */
    static class LinkClosedException extends Exception {
        private static final long serialVersionUID = 1;

        LinkClosedException(String message) {
            super(message);
        }
    }
}
