package org.verbenatally.entry.target;

import java.time.Duration;
import java.util.Objects;
import java.util.function.BooleanSupplier;

import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.jboss.logging.Logger;
import org.verbenatally.config.Target;
import org.verbenatally.core.GenerationId;

/**
 * Reads one generation in order and resumes it on a new connection when the current one is lost or receives no data.
 * One virtual-thread task reads it; {@link #close} may be called from any thread.
 */
public final class EngineStream {
    private static final Logger LOG = Logger.getLogger(EngineStream.class);

    /** An engine continues to decode for 30 s without a connection; 28 s leave time for the resume itself. */
    private static final Duration RESUME_TIMEOUT = Duration.ofSeconds(28);

    private static final Duration RETRY_DELAY = Duration.ofMillis(200);
    /** Two refused connections in a row, one delay apart, show that no process listens: the generation is lost. */
    private static final int REFUSALS_UNTIL_CRASHED = 2;

    private static final int MAX_ATTEMPTS_BEFORE_FIRST_TOKEN = 2;

    private final Vertx vertx;
    private final EngineClient client;
    private final Target target;
    private final GenerationId generation;
    private final long maxTokens;
    private final long firstAttachment;
    private final BooleanSupplier hasRestarted;
    private volatile TokenFeed feed;
    private volatile boolean closed;
    private long nextOffset;
    private long attachmentGaps;
    private int resumeCount;

    /** The generation cannot be read further. */
    public static final class GenerationLostException extends Exception {
        private static final long serialVersionUID = 1;

        private final Reason reason;

        /** Why the generation cannot be read further. */
        public enum Reason {
            /** The engine does not respond or does not know the generation. */
            LOST,
            /** The engine process has crashed: it refuses connections or has restarted. */
            CRASHED,
            /** The engine's events violate the protocol or are not the tokens of one complete generation. */
            INVALID,
            /** Another entry now reads the generation. */
            SUPERSEDED,
            /** {@link EngineStream#close} was called. */
            CLOSED
        }

        GenerationLostException(Reason reason, String message) {
            super(message);
            this.reason = reason;
        }

        /** Returns why the generation cannot be read further. */
        public Reason reason() {
            return reason;
        }
    }

    /**
     * Creates a stream that reads from an existing attachment.
     *
     * @param vertx runs the delays between attempts to resume
     * @param client client of the engines
     * @param target the engine
     * @param generation the generation
     * @param feed the current attachment
     * @param from offset of the first token to read
     * @param maxTokens maximum length of the generation, in tokens
     * @param hasRestarted returns whether the engine has restarted; queried when it no longer knows the generation
     */
    public EngineStream(
            Vertx vertx,
            EngineClient client,
            Target target,
            GenerationId generation,
            TokenFeed feed,
            long from,
            long maxTokens,
            BooleanSupplier hasRestarted) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.client = Objects.requireNonNull(client, "client");
        this.target = Objects.requireNonNull(target, "target");
        this.generation = Objects.requireNonNull(generation, "generation");
        this.feed = Objects.requireNonNull(feed, "feed");
        this.nextOffset = from;
        this.maxTokens = maxTokens;
        this.hasRestarted = Objects.requireNonNull(hasRestarted, "hasRestarted");
        this.firstAttachment = feed.attachment();
    }

    /** Returns the engine. */
    public Target target() {
        return target;
    }

    /** Returns the generation. */
    public GenerationId generation() {
        return generation;
    }

    /** Returns the offset that the next token must have. */
    public long nextOffset() {
        return nextOffset;
    }

    /** Returns how often the stream has been resumed. */
    public int resumeCount() {
        return resumeCount;
    }

    /** Returns the number of the current attachment. */
    public long attachment() {
        return feed.attachment();
    }

    /**
     * Waits for the next token or the end.
     *
     * @return a {@link TokenFeed.Token} or a {@link TokenFeed.End}
     * @throws GenerationLost if the generation cannot be read further
     */
    public TokenFeed.Item next() throws GenerationLostException {
        while (true) {
            switch (feed.next()) {
                case TokenFeed.Token token -> {
                    if (accept(token)) {
                        return token;
                    }
                }
                case TokenFeed.End end -> {
                    if (end.tokens() != nextOffset) {
                        throw invalid(
                                "engine ended after " + end.tokens() + " tokens, but " + nextOffset + " were received");
                    }
                    return end;
                }
                case TokenFeed.Disconnected disconnected -> resume(disconnected);
            }
        }
    }

    private boolean accept(TokenFeed.Token token) throws GenerationLostException {
        if (token.offset() < nextOffset) {
            return false;
        }
        if (token.offset() > nextOffset) {
            throw invalid("token " + token.offset() + " was received instead of " + nextOffset);
        }
        if (nextOffset >= maxTokens) {
            throw invalid("engine generated more than " + maxTokens + " tokens");
        }
        nextOffset++;
        return true;
    }

    private GenerationLostException invalid(String message) {
        feed.close();
        return new GenerationLostException(GenerationLostException.Reason.INVALID, message);
    }

    private void resume(TokenFeed.Disconnected disconnected) throws GenerationLostException {
        if (disconnected.cause() == TargetFailure.Cause.BAD_ANSWER) {
            throw invalid(disconnected.message());
        }
        LOG.debugf("stream: resuming at offset %d on %s: %s", nextOffset, target.id(), disconnected.message());
        long start = System.nanoTime();
        int attempts = 0;
        int refusedConnections = 0;
        while (!closed) {
            attempts++;
            TargetFailure failure;
            try {
                switchTo(client.resume(target, generation, nextOffset));
                return;
            } catch (TargetFailure e) {
                failure = e;
            }
            refusedConnections =
                    failure.reason() == TargetFailure.Cause.CONNECTION_REFUSED ? refusedConnections + 1 : 0;
            throwIfFinal(failure, refusedConnections);
            boolean anyTokenReceived = nextOffset > 0;
            if ((!anyTokenReceived && attempts >= MAX_ATTEMPTS_BEFORE_FIRST_TOKEN)
                    || System.nanoTime() - start > RESUME_TIMEOUT.toNanos()) {
                throw new GenerationLostException(
                        GenerationLostException.Reason.LOST, "engine does not respond: " + failure.getMessage());
            }
            pause();
        }
        throw new GenerationLostException(GenerationLostException.Reason.CLOSED, "closed by this entry");
    }

    private void throwIfFinal(TargetFailure failure, int refusedConnections) throws GenerationLostException {
        if (refusedConnections >= REFUSALS_UNTIL_CRASHED) {
            throw new GenerationLostException(GenerationLostException.Reason.CRASHED, "engine refuses connections");
        }
        if (failure.reason() == TargetFailure.Cause.UNKNOWN_GENERATION) {
            // Without a restart, the generation was cancelled or evicted, which is no sign of a crash.
            throw hasRestarted.getAsBoolean()
                    ? new GenerationLostException(GenerationLostException.Reason.CRASHED, "engine has restarted")
                    : new GenerationLostException(GenerationLostException.Reason.LOST, failure.getMessage());
        }
        if (failure.reason() == TargetFailure.Cause.BAD_ANSWER) {
            throw new GenerationLostException(GenerationLostException.Reason.INVALID, failure.getMessage());
        }
    }

    /**
     * Switches to a new attachment. If another one was made in between, the caller has resumed at another entry, and
     * the later of the two streams must win. Each stream tolerates as many such gaps as there were attachments before
     * its first one, so the earlier stream yields first.
     */
    private void switchTo(TokenFeed newFeed) throws GenerationLostException {
        long interveningAttachments = newFeed.attachment() - feed.attachment() - 1;
        feed = newFeed;
        resumeCount++;
        if (closed) {
            newFeed.close();
        }
        if (interveningAttachments > 0 && ++attachmentGaps >= firstAttachment) {
            newFeed.close();
            throw new GenerationLostException(
                    GenerationLostException.Reason.SUPERSEDED, "another entry now reads the generation");
        }
    }

    private void pause() {
        Promise<Void> delay = Promise.promise();
        vertx.setTimer(RETRY_DELAY.toMillis(), id -> delay.complete());
        delay.future().await();
    }

    /** Stops reading; the engine continues to decode. */
    public void close() {
        closed = true;
        feed.close();
    }

    /** Closes the connection and cancels the generation, unless another entry has resumed it since. */
    public void cancel() {
        long attachment = feed.attachment();
        close();
        try {
            boolean accepted = client.cancel(target, generation, attachment);
            LOG.debugf("stream: cancel on %s was %s", target.id(), accepted ? "taken" : "refused: resumed elsewhere");
        } catch (TargetFailure e) {
            // The engine ends a generation by itself if no connection reads it.
            LOG.debugf("stream: cancel on %s failed: %s", target.id(), e.getMessage());
        }
    }
}
