package org.verbenatally.standin;

import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.verbenatally.core.GenerationId;

/** One generation in an engine: what the batch scheduler needs to know, and the connection that receives its tokens. */
final class Sequence {
    private static final Pattern LENGTH = Pattern.compile("\\[len=(\\d{1,9})]");
    private static final Pattern CRASH = Pattern.compile("\\[crash(?:=(\\d{1,9}))?]");
    private static final Pattern WORK = Pattern.compile("\\[work=([^\\]\\s]{1,128})]");
    private static final int CHARACTERS_PER_TOKEN = 4;

    /** The states of a generation; the last four are final. */
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
    final long arrival;
    final int promptTokens;
    final List<Long> promptBlocks;
    final int target;
    final long crashAt;
    final long startMs = System.currentTimeMillis();
    final long startNanos = System.nanoTime();

    State state = State.WAITING;
    int generated;
    int held;
    int prefillLeft;
    int preemptions;
    int attachments;
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
        promptBlocks = PrefixCache.blocks(prompt);
        Matcher length = LENGTH.matcher(prompt);
        int wanted = length.find() ? Math.max(1, Integer.parseInt(length.group(1))) : defaultLength;
        target = Math.min(wanted, maxTokens);
        Matcher marker = WORK.matcher(prompt);
        work = marker.find() ? marker.group(1) : null;
        Matcher crash = CRASH.matcher(prompt);
        crashAt = !crash.find() ? Long.MAX_VALUE : crash.group(1) == null ? 0 : Long.parseLong(crash.group(1));
    }

    boolean isFinal() {
        return state != State.WAITING && state != State.RUNNING;
    }

    /** Tokens that must be in memory before the next token can be decoded. */
    int contextTokens() {
        return promptTokens + generated;
    }
}
