package org.verbenatally.standin;

import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.verbenatally.core.GenerationId;

/** One generation in an engine: its scheduling and memory state, and the connection that receives its tokens. */
final class Sequence {
    private static final Pattern LENGTH_MARKER = Pattern.compile("\\[len=(\\d{1,9})]");
    private static final Pattern CRASH_MARKER = Pattern.compile("\\[crash(?:=(\\d{1,9}))?]");
    private static final Pattern WORK_MARKER = Pattern.compile("\\[work=([^\\]\\s]{1,128})]");
    private static final int CHARACTERS_PER_TOKEN = 4;

    /** States of a generation; the last four are final. */
    enum State {
        WAITING,
        RUNNING,
        DONE,
        CANCELLED,
        ABANDONED,
        MEMORY_LIMIT
    }

    final GenerationId id;
    final String organisation;
    final String work;
    final int priority;
    /** Ordinal number of the arrival; of two sequences with the same priority, the lower one is scheduled first. */
    final long arrival;

    final int promptTokens;
    final List<Long> promptBlocks;
    /** Length of the output, in tokens. */
    final int outputTokens;
    /** Number of tokens after which the engine crashes; {@link Long#MAX_VALUE}: never. */
    final long crashAfterTokens;

    final long startMs = System.currentTimeMillis();
    final long startNanos = System.nanoTime();

    State state = State.WAITING;
    /** Number of tokens generated so far. */
    int generated;
    /** Key-value memory that the sequence occupies, in tokens. */
    int heldTokens;
    /** Prompt tokens that remain to be processed; after a preemption, these include the tokens generated before it. */
    int remainingPrefillTokens;

    int preemptions;
    /** Number of connections attached so far, which is also the number of the newest one. */
    int attachmentCount;

    Attachment attachment;
    long detachedAtNanos;
    long endedAtNanos;
    long firstTokenNanos;

    Sequence(
            GenerationId id,
            String organisation,
            String prompt,
            int priority,
            int maxTokens,
            int defaultLength,
            long arrival) {
        this.id = id;
        this.organisation = organisation;
        this.priority = priority;
        this.arrival = arrival;
        promptTokens = Math.max(1, prompt.length() / CHARACTERS_PER_TOKEN);
        promptBlocks = PrefixCache.blockIds(prompt);
        Matcher lengthMarker = LENGTH_MARKER.matcher(prompt);
        int requestedTokens =
                lengthMarker.find() ? Math.max(1, Integer.parseInt(lengthMarker.group(1))) : defaultLength;
        outputTokens = Math.min(requestedTokens, maxTokens);
        Matcher workMarker = WORK_MARKER.matcher(prompt);
        work = workMarker.find() ? workMarker.group(1) : null;
        Matcher crashMarker = CRASH_MARKER.matcher(prompt);
        crashAfterTokens = !crashMarker.find()
                ? Long.MAX_VALUE
                : crashMarker.group(1) == null ? 0 : Long.parseLong(crashMarker.group(1));
    }

    boolean isFinal() {
        return state != State.WAITING && state != State.RUNNING;
    }

    /** Returns the number of tokens that must be in memory before the next token can be decoded. */
    int contextTokens() {
        return promptTokens + generated;
    }
}
