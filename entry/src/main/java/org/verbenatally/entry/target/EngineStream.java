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
 * One generation, read in order and resumed on a new connection when the present one is lost or silent. One
 * virtual-thread task reads it; {@link #close} may be called from any thread.
 */
public final class EngineStream {
    private static final Logger LOG = Logger.getLogger(EngineStream.class);

    /** The engine decodes for 30 s without a connection; a little less leaves time for the resume itself. */
    private static final Duration RESUME_BOUND = Duration.ofSeconds(28);

    private static final Duration RETRY_PAUSE = Duration.ofMillis(200);
    /** Two refused connections in a row, one pause apart: no process listens, so the generation is gone. */
    private static final int REFUSALS_MEAN_DEAD = 2;

    private static final int ATTEMPTS_BEFORE_FIRST_TOKEN = 2;

    private final Vertx vertx;
    private final EngineClient client;
    private final Target target;
    private final GenerationId generation;
    private final long maxTokens;
    private final long firstAttachment;
    private final BooleanSupplier restarted;
    private volatile TokenFeed feed;
    private volatile boolean closed;
    private long nextOffset;
    private long gaps;
    private int resumes;

    /** The generation cannot be read further. */
    public static final class GenerationLost extends Exception {
        private static final long serialVersionUID = 1;

        private final Reason reason;

        /** Why it cannot be read. */
        public enum Reason {
            /** The engine is gone or does not know the generation. */
            LOST,
            /** The engine process refused connections: it has crashed. */
            CRASHED,
            /** The engine's tokens are not those of one whole generation. */
            INVALID,
            /** Another entry reads it now. */
            SUPERSEDED,
            /** {@link EngineStream#close} was called. */
            CLOSED
        }

        GenerationLost(Reason reason, String message) {
            super(message);
            this.reason = reason;
        }

        /** Returns why. */
        public Reason reason() {
            return reason;
        }
    }

    /**
     * Takes over an attachment.
     *
     * @param vertx for pauses between attempts to resume
     * @param client client of the engines
     * @param target the engine
     * @param generation the generation
     * @param feed the present attachment
     * @param from offset of the first token to read
     * @param maxTokens most tokens that the generation may have
     * @param restarted asked, after the engine has forgotten the generation, whether it has restarted
     */
    public EngineStream(
            Vertx vertx,
            EngineClient client,
            Target target,
            GenerationId generation,
            TokenFeed feed,
            long from,
            long maxTokens,
            BooleanSupplier restarted) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.client = Objects.requireNonNull(client, "client");
        this.target = Objects.requireNonNull(target, "target");
        this.generation = Objects.requireNonNull(generation, "generation");
        this.feed = Objects.requireNonNull(feed, "feed");
        this.nextOffset = from;
        this.maxTokens = maxTokens;
        this.restarted = Objects.requireNonNull(restarted, "restarted");
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

    /** Returns how often the stream was resumed. */
    public int resumes() {
        return resumes;
    }

    /** Returns the number of the present attachment. */
    public long attachment() {
        return feed.attachment();
    }

    /**
     * Waits for the next token, or the end.
     *
     * @return a {@link TokenFeed.Token} or a {@link TokenFeed.End}
     * @throws GenerationLost if the generation cannot be read further
     */
    public TokenFeed.Item next() throws GenerationLost {
        while (true) {
            switch (feed.next()) {
                case TokenFeed.Token token -> {
                    if (accept(token)) {
                        return token;
                    }
                }
                case TokenFeed.End end -> {
                    if (end.tokens() != nextOffset) {
                        throw invalid("engine ended after " + end.tokens() + " tokens, " + nextOffset + " arrived");
                    }
                    return end;
                }
                case TokenFeed.Lost lost -> resume(lost);
            }
        }
    }

    private boolean accept(TokenFeed.Token token) throws GenerationLost {
        if (token.offset() < nextOffset) {
            return false;
        }
        if (token.offset() > nextOffset) {
            throw invalid("token " + token.offset() + " arrived in place of " + nextOffset);
        }
        if (nextOffset >= maxTokens) {
            throw invalid("engine generated more than " + maxTokens + " tokens");
        }
        nextOffset++;
        return true;
    }

    private GenerationLost invalid(String message) {
        feed.close();
        return new GenerationLost(GenerationLost.Reason.INVALID, message);
    }

    private void resume(TokenFeed.Lost lost) throws GenerationLost {
        if (lost.cause() == TargetFailure.Cause.BAD_ANSWER) {
            throw invalid(lost.message());
        }
        LOG.debugf("stream: resuming at offset %d on %s: %s", nextOffset, target.id(), lost.message());
        long start = System.nanoTime();
        int attempts = 0;
        int refused = 0;
        while (!closed) {
            attempts++;
            TargetFailure failure;
            try {
                take(client.resume(target, generation, nextOffset));
                return;
            } catch (TargetFailure e) {
                failure = e;
            }
            refused = failure.reason() == TargetFailure.Cause.CONNECTION_REFUSED ? refused + 1 : 0;
            check(failure, refused);
            boolean tokensAtStake = nextOffset > 0;
            if ((!tokensAtStake && attempts >= ATTEMPTS_BEFORE_FIRST_TOKEN)
                    || System.nanoTime() - start > RESUME_BOUND.toNanos()) {
                throw new GenerationLost(GenerationLost.Reason.LOST, "engine does not answer: " + failure.getMessage());
            }
            pause();
        }
        throw new GenerationLost(GenerationLost.Reason.CLOSED, "closed here");
    }

    private void check(TargetFailure failure, int refused) throws GenerationLost {
        if (refused >= REFUSALS_MEAN_DEAD) {
            throw new GenerationLost(GenerationLost.Reason.CRASHED, "engine refuses connections");
        }
        if (failure.reason() == TargetFailure.Cause.UNKNOWN_GENERATION) {
            // Without a restart the generation was cancelled or evicted, which is no sign of a crash.
            throw restarted.getAsBoolean()
                    ? new GenerationLost(GenerationLost.Reason.CRASHED, "engine has restarted")
                    : new GenerationLost(GenerationLost.Reason.LOST, failure.getMessage());
        }
        if (failure.reason() == TargetFailure.Cause.BAD_ANSWER) {
            throw new GenerationLost(GenerationLost.Reason.INVALID, failure.getMessage());
        }
    }

    /**
     * Takes a new attachment. If somebody else attached in between, a caller has resumed at another entry, and the one
     * that came later must win: each side tolerates as many such gaps as callers had attached before it, so the
     * earlier side yields first.
     */
    private void take(TokenFeed newer) throws GenerationLost {
        long between = newer.attachment() - feed.attachment() - 1;
        feed = newer;
        resumes++;
        if (closed) {
            newer.close();
        }
        if (between > 0 && ++gaps >= firstAttachment) {
            newer.close();
            throw new GenerationLost(GenerationLost.Reason.SUPERSEDED, "another entry reads the generation now");
        }
    }

    private void pause() {
        Promise<Void> wait = Promise.promise();
        vertx.setTimer(RETRY_PAUSE.toMillis(), id -> wait.complete());
        wait.future().await();
    }

    /** Ends the reading; the engine continues to decode. */
    public void close() {
        closed = true;
        feed.close();
    }

    /** Closes the connection and cancels the generation, unless another entry has resumed it since. */
    public void cancel() {
        long attachment = feed.attachment();
        close();
        try {
            boolean taken = client.cancel(target, generation, attachment);
            LOG.debugf("stream: cancel on %s was %s", target.id(), taken ? "taken" : "refused: resumed elsewhere");
        } catch (TargetFailure e) {
            // The engine ends a generation without a connection by itself.
            LOG.debugf("stream: cancel on %s failed: %s", target.id(), e.getMessage());
        }
    }
}
