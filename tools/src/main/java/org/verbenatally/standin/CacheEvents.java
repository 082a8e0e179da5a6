package org.verbenatally.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HexFormat;
import java.util.SplittableRandom;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** Cache events that show late; some of them never show, which leaves gaps in the sequence numbers. */
final class CacheEvents {
    private static final int RETAINED = 4_096;
    private static final int PAGE = 1_024;

    private record Event(long seq, long atNanos, String type, long block) {}

    private final Deque<Event> events = new ArrayDeque<>();
    private final SplittableRandom random;
    private long seq;

    CacheEvents(long seed) {
        random = new SplittableRandom(seed);
    }

    void add(String type, long block, double gapShare) {
        seq++;
        if (random.nextDouble() >= gapShare) {
            events.addLast(new Event(seq, System.nanoTime(), type, block));
        }
        if (events.size() > RETAINED) {
            events.removeFirst();
        }
    }

    /** Returns the events after a sequence number that are old enough to show. */
    JsonArray after(long last, long delayMs) {
        long visible = System.nanoTime() - delayMs * 1_000_000;
        JsonArray page = new JsonArray();
        events.stream()
                .filter(e -> e.seq() > last && e.atNanos() - visible <= 0)
                .limit(PAGE)
                .forEach(e -> page.add(new JsonObject()
                        .put("seq", e.seq())
                        .put("type", e.type())
                        .put("block", HexFormat.of().toHexDigits(e.block()))
                        .put("tokens", PrefixCache.BLOCK_TOKENS)));
        return page;
    }
}
