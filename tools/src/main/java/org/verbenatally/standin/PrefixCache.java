package org.verbenatally.standin;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Cache of prompt prefixes in blocks of {@value #BLOCK_TOKENS} tokens, with the least recently used block evicted
 * first. A block is identified by the hash of the whole prompt up to its end, so a prompt matches block by block.
 */
final class PrefixCache {
    static final int BLOCK_TOKENS = 64;
    private static final int BLOCK_CHARACTERS = 4 * BLOCK_TOKENS;

    private final LinkedHashMap<Long, Boolean> blocks = new LinkedHashMap<>(64, 0.75f, true);
    private final BiConsumer<String, Long> events;

    /** Creates an empty cache; {@code events} receives {@code stored} and {@code evicted} with the block. */
    PrefixCache(BiConsumer<String, Long> events) {
        this.events = events;
    }

    /** Returns the block ids of a prompt: XXH3-64 of the UTF-8 text up to the end of each full block. */
    static List<Long> blocks(String prompt) {
        List<Long> ids = new ArrayList<>();
        var stream = Hashing.xxh3_64().hashStream();
        for (int end = BLOCK_CHARACTERS; end <= prompt.length(); end += BLOCK_CHARACTERS) {
            stream.putBytes(prompt.substring(end - BLOCK_CHARACTERS, end).getBytes(StandardCharsets.UTF_8));
            ids.add(stream.getAsLong());
        }
        return ids;
    }

    /** Returns the tokens of a prompt that are cached, and marks them as used. */
    int match(List<Long> prompt) {
        int matched = 0;
        for (Long block : prompt) {
            if (blocks.get(block) == null) {
                break;
            }
            matched++;
        }
        return matched * BLOCK_TOKENS;
    }

    /** Stores a processed prompt. */
    void store(List<Long> prompt, int limitTokens) {
        for (Long block : prompt) {
            if (blocks.put(block, true) == null) {
                events.accept("stored", block);
            }
        }
        shrink(limitTokens);
    }

    /** Evicts blocks until the cache holds at most the given number of tokens. */
    void shrink(int limitTokens) {
        Iterator<Map.Entry<Long, Boolean>> oldest = blocks.entrySet().iterator();
        while (tokens() > Math.max(0, limitTokens) && oldest.hasNext()) {
            Long block = oldest.next().getKey();
            oldest.remove();
            events.accept("evicted", block);
        }
    }

    int tokens() {
        return blocks.size() * BLOCK_TOKENS;
    }
}
