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
import org.verbenatally.peer.MemberRow.Run;
import org.verbenatally.wire.ForwardResult;
import org.verbenatally.wire.PeerFrame;

/** One connection to a peer. A virtual thread reads its frames in order; frames are written from any thread. */
final class Link {
    private static final Logger LOG = Logger.getLogger(Link.class);

    /** The socket is paused while this many frames wait for the reading task. */
    private static final int MAX_WAITING = 64;

    /** Bytes that may wait for a slow peer before the link counts as stalled; one frame must fit. */
    private static final int WRITE_QUEUE = 2 * FrameCodec.MAX_FRAME;

    private static final Buffer END = Buffer.buffer();

    /** Receives what a link reads. */
    interface Listener {
        /** Takes a frame; an {@link IllegalArgumentException} closes the link as malformed input does. */
        void onFrame(Link link, PeerFrame frame) throws BadFrameException;

        /** Called once when the link has ended. */
        void onClosed(Link link, String reason);
    }

    /** Bytes sent and received by all links of an instance, and sent in configuration documents. */
    record Traffic(AtomicLong sent, AtomicLong received, AtomicLong config) {}

    final int id;
    final boolean dialled;
    final boolean callsOnly;
    final CompletableFuture<Run> hello = new CompletableFuture<>();
    final CompletableFuture<Void> firstGossip = new CompletableFuture<>();
    final Map<Long, CompletableFuture<ForwardResult>> calls = new ConcurrentHashMap<>();
    final Map<Run, CompletableFuture<Void>> transfers = new ConcurrentHashMap<>();
    final AtomicInteger answering = new AtomicInteger();
    volatile long opened;
    volatile long lastReceived;
    volatile long lastUsed;
    volatile boolean peerCallsOnly;
    final GossipState gossip = new GossipState();

    private final NetSocket socket;
    private final Listener listener;
    private final Traffic traffic;
    private final BlockingQueue<Buffer> waiting = new LinkedBlockingQueue<>();
    private final AtomicBoolean closed = new AtomicBoolean();
    private volatile String reason = "closed by the peer";

    /** What this link has been sent, and what its peer asked for. Guarded by itself. */
    static final class GossipState {
        long sentState;
        long sentBeat;
        boolean ownRowSent;
        boolean leavingReceived;
        long sentLoads;
        long sentPublished;
        long nextState;
        long nextFrame;
        final Set<Integer> wantedByPeer = new HashSet<>();
        final Set<Integer> unknown = new HashSet<>();
        final Map<Object, Object> sentSuspects = new HashMap<>();

        synchronized void want(Collection<Integer> hashes) {
            unknown.addAll(hashes);
        }

        synchronized void wanted(Collection<Integer> hashes) {
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
        opened = now;
        lastReceived = now;
        lastUsed = now;
        gossip.nextState = now;
        gossip.nextFrame = now;
        socket.setWriteQueueMaxSize(WRITE_QUEUE);
    }

    /** Starts to read. Called on the socket's own context, before any byte can be lost. */
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
        waiting.add(frame);
        if (waiting.size() >= MAX_WAITING) {
            socket.pause();
        }
    }

    private void read() {
        try {
            for (Buffer frame = waiting.take(); frame != END; frame = waiting.take()) {
                if (waiting.isEmpty()) {
                    socket.resume();
                }
                if (!closed.get()) {
                    listener.onFrame(this, FrameCodec.decode(frame));
                }
            }
        } catch (BadFrameException | IllegalArgumentException e) {
            // The peer may run another version or be faulty; the other links must not suffer.
            LOG.warnf("peer: closing link to %s: %s", this, e.getMessage());
            close(e.getMessage());
        } catch (InterruptedException e) {
            close("reading task was interrupted");
        } catch (RuntimeException e) {
            LOG.errorf(e, "peer: reading from %s failed", this);
            close("internal error");
        }
    }

    /** Sends a frame and returns whether it was handed to the connection. */
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

    /** Returns whether only calls are carried, by the choice of either side. */
    boolean carriesGossip() {
        return !callsOnly && !peerCallsOnly;
    }

    /** Returns whether somebody waits for an answer over this link. */
    boolean isBusy() {
        return !calls.isEmpty() || !transfers.isEmpty() || answering.get() > 0;
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
        waiting.add(END);
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

    /** The link ended before an answer arrived. */
    static class LinkClosedException extends Exception {
        private static final long serialVersionUID = 1;

        LinkClosedException(String message) {
            super(message);
        }
    }
}
