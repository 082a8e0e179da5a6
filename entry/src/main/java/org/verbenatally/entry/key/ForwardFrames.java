package org.verbenatally.entry.key;

import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.verbenatally.core.KindName;
import org.verbenatally.core.OrganisationId;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;
import org.verbenatally.wire.ForwardCall;
import org.verbenatally.wire.ForwardResult;

/** Converts forwarded calls and their results to and from peer frames. */
final class ForwardFrames {
    private static final long MAX_DEADLINE_MS = TimeUnit.HOURS.toMillis(2);
    private static final int MAX_STATUS = 599;

    private ForwardFrames() {}

    /** Reads a forwarded call; empty if a field is not valid. */
    static Optional<KeyedCallRunner.KeyedCall> read(ForwardCall frame, long nowNanos) {
        try {
            long deadlineMs = Math.clamp(frame.getDeadlineMs(), 0, MAX_DEADLINE_MS);
            return Optional.of(new KeyedCallRunner.KeyedCall(
                    frame.getRequest(),
                    new OrganisationId(frame.getOrganisation()),
                    new KindName(frame.getKind()),
                    frame.getKey(),
                    nowNanos + TimeUnit.MILLISECONDS.toNanos(deadlineMs),
                    frame.getBody()));
        } catch (IllegalArgumentException | NullPointerException e) {
            return Optional.empty();
        }
    }

    /** Returns the frame with the owner's result. */
    static ForwardResult write(long callId, CallResult result) {
        ForwardResult frame = new ForwardResult();
        frame.setCallId(callId);
        frame.setOutcome(result.outcome().text());
        frame.setStatus(result.status());
        frame.setBody(ByteBuffer.wrap(result.body()));
        result.step().ifPresent(step -> frame.setStep(step.text()));
        frame.setPeer(result.peer());
        frame.setMessage(result.message());
        return frame;
    }

    /** Reads the owner's result; if it is not valid, the outcome of the call is unknown. */
    static CallResult read(ForwardResult frame) {
        try {
            Outcome outcome = Outcome.parse(frame.getOutcome());
            int status = frame.getStatus();
            if (status < 0 || status > MAX_STATUS || outcome == Outcome.DONE && status == 0) {
                throw new IllegalArgumentException("status is out of range");
            }
            return new CallResult(
                    outcome,
                    status,
                    frame.getBody(),
                    outcome == Outcome.DONE ? Optional.empty() : Optional.of(parseStep(frame.getStep())),
                    frame.getPeer() == null ? "" : frame.getPeer(),
                    frame.getMessage() == null ? "" : frame.getMessage());
        } catch (IllegalArgumentException | NullPointerException e) {
            return CallResult.failed(Outcome.UNKNOWN, Step.FORWARD, "owner", "the owner's response is malformed");
        }
    }

    private static Step parseStep(String text) {
        if (text == null) {
            return Step.FORWARD;
        }
        return Step.valueOf(text.toUpperCase(Locale.ROOT).replace('-', '_'));
    }
}
