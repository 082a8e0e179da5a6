package org.verbenatally.forward;

import java.util.concurrent.TimeUnit;

import org.verbenatally.forward.speed.ServiceModel;
import org.verbenatally.forward.speed.SpeedModels;

/**
 * Measures the events of one generation at one engine for the estimate of the engine's speed. Intervals are sampled
 * over several events, which costs little for each event and evens out events that are read together.
 */
final class StreamTiming {
    private static final int EVENTS_PER_SAMPLE = 4;
    /** A write to the caller that takes longer means that the caller reads slowly, not that the engine is slow. */
    private static final long SLOW_CALLER_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private final TargetState state;
    /** Model of the service, or {@code null} if speeds are not measured. */
    private final ServiceModel model;

    private final long sentAt;
    /** Prompt tokens that the engine has to read before the first event; 0 if the first event is not measured. */
    private final long tokensToRead;

    private final int runningAtSend;
    private boolean started;
    private long sampleStart;
    private boolean readingAtStart;
    private int events;

    private StreamTiming(SpeedModels models, TargetState state, boolean measuresFirst, long now) {
        this.state = state;
        this.model = models.isEnabled() ? models.of(state.target().service()) : null;
        this.sentAt = now;
        this.tokensToRead = measuresFirst ? state.unreadTokens() + state.peerUnreadTokens() : 0;
        this.runningAtSend = state.ownRequests() + state.peerRequests();
    }

    /** Starts at the send of a request that is part of the engine's load and waits there for its prompt only. */
    static StreamTiming fromSend(SpeedModels models, TargetState state, long now) {
        return new StreamTiming(models, state, true, now);
    }

    /** Starts at a send after which the engine may wait for something else, such as memory or a copy. */
    static StreamTiming ofIntervals(SpeedModels models, TargetState state, long now) {
        return new StreamTiming(models, state, false, now);
    }

    /**
     * Records events that have arrived.
     *
     * @param count their number
     * @param now time of their arrival
     */
    void onEvents(long count, long now) {
        if (model == null || count <= 0) {
            return;
        }
        if (!started) {
            started = true;
            if (tokensToRead > 0) {
                model.observeFirstEvent(state.speed(), tokensToRead, runningAtSend, now - sentAt, now);
            }
            startSample(now);
            return;
        }
        events += (int) Math.min(count, Integer.MAX_VALUE - events);
        if (events >= EVENTS_PER_SAMPLE) {
            boolean reading = isReading();
            double share = ((readingAtStart ? 1 : 0) + (reading ? 1 : 0)) / 2.0;
            int running = state.ownRequests() + state.peerRequests();
            model.observeEvents(state.speed(), events, running, share, now - sampleStart, now);
            startSample(now);
        }
    }

    private boolean isReading() {
        return state.peerUnreadTokens() > 0 || state.unreadTokens() > 0;
    }

    private void startSample(long now) {
        sampleStart = now;
        events = 0;
        readingAtStart = isReading();
    }

    /**
     * Discards the present sample if the caller was slow to read.
     *
     * @param writeStart time at which the write to the caller began
     * @param now time at which it was accepted
     */
    void onWritten(long writeStart, long now) {
        if (model != null && now - writeStart > SLOW_CALLER_NANOS) {
            startSample(now);
        }
    }
}
