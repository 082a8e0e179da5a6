package org.verbenatally.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HexFormat;
import java.util.SplittableRandom;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** Cache events that become visible after a delay. Some never do, which leaves gaps in the sequence numbers. */
final class CacheEvents {
    private static final int MAX_RETAINED_EVENTS = 4_096;
    private static final int MAX_EVENTS_PER_PAGE = 1_024;

    private record Event(long seq, long atNanos, String type, long block) {}

    private final Deque<Event> events = new ArrayDeque<>();
    private final SplittableRandom random;
    private long newestSeq;

    CacheEvents(long seed) {
        random = new SplittableRandom(seed);
    }

    /** Adds an event, or only a gap in the sequence numbers with the probability {@code gapShare}. */
    void add(String type, long block, double gapShare) {
        newestSeq++;
        if (random.nextDouble() >= gapShare) {
            events.addLast(new Event(newestSeq, System.nanoTime(), type, block));
        }
        if (events.size() > MAX_RETAINED_EVENTS) {
            events.removeFirst();
        }
    }

    /** Returns a page of the events after a sequence number that are at least {@code delayMs} milliseconds old. */
    JsonArray pageAfter(long lastSeq, long delayMs) {
        long newestVisibleNanos = System.nanoTime() - delayMs * 1_000_000;
        JsonArray page = new JsonArray();
        events.stream()
                .filter(e -> e.seq() > lastSeq && e.atNanos() - newestVisibleNanos <= 0)
                .limit(MAX_EVENTS_PER_PAGE)
                .forEach(e -> page.add(new JsonObject()
                        .put("seq", e.seq())
                        .put("type", e.type())
                        .put("block", HexFormat.of().toHexDigits(e.block()))
                        .put("tokens", PrefixCache.BLOCK_TOKENS)));
        return page;
    }
}
