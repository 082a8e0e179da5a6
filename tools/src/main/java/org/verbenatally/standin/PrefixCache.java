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
 * Cache of prompt prefixes in blocks of {@value #BLOCK_TOKENS} tokens. The least recently used block is evicted first.
 * A block is identified by the hash of the prompt from its start to the end of the block, so that prompts share the
 * blocks of their common prefix.
 */
final class PrefixCache {
    static final int BLOCK_TOKENS = 64;
    private static final int BLOCK_CHARACTERS = 4 * BLOCK_TOKENS;

    private final LinkedHashMap<Long, Boolean> blocks = new LinkedHashMap<>(64, 0.75f, true);
    private final BiConsumer<String, Long> listener;

    /** Creates an empty cache; {@code listener} receives {@code stored} or {@code evicted} with the id of the block. */
    PrefixCache(BiConsumer<String, Long> listener) {
        this.listener = listener;
    }

    /** Returns the block ids of a prompt: the XXH3-64 hash of its UTF-8 text up to the end of each full block. */
    static List<Long> blockIds(String prompt) {
        List<Long> ids = new ArrayList<>();
        var stream = Hashing.xxh3_64().hashStream();
        for (int end = BLOCK_CHARACTERS; end <= prompt.length(); end += BLOCK_CHARACTERS) {
            stream.putBytes(prompt.substring(end - BLOCK_CHARACTERS, end).getBytes(StandardCharsets.UTF_8));
            ids.add(stream.getAsLong());
        }
        return ids;
    }

    /** Returns the number of leading tokens of a prompt that are cached, and marks their blocks as used. */
    int match(List<Long> promptBlocks) {
        int matchedBlocks = 0;
        for (Long block : promptBlocks) {
            if (blocks.get(block) == null) {
                break;
            }
            matchedBlocks++;
        }
        return matchedBlocks * BLOCK_TOKENS;
    }

    /** Stores the blocks of a processed prompt, then shrinks the cache to at most the given number of tokens. */
    void store(List<Long> promptBlocks, int limitTokens) {
        for (Long block : promptBlocks) {
            if (blocks.put(block, true) == null) {
                listener.accept("stored", block);
            }
        }
        shrink(limitTokens);
    }

    /** Evicts blocks until the cache holds at most the given number of tokens. */
    void shrink(int limitTokens) {
        Iterator<Map.Entry<Long, Boolean>> leastRecentlyUsed = blocks.entrySet().iterator();
        while (tokens() > Math.max(0, limitTokens) && leastRecentlyUsed.hasNext()) {
            Long block = leastRecentlyUsed.next().getKey();
            leastRecentlyUsed.remove();
            listener.accept("evicted", block);
        }
    }

    int tokens() {
        return blocks.size() * BLOCK_TOKENS;
    }
}
