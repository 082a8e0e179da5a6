package org.verbenatally.peer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ReplicatedTableTest {
    /** A value whose content is its version without the last digit. */
    private record Value(String key, long version) {
        boolean hasSameContent(Value other) {
            return version / 10 == other.version / 10;
        }
    }

    private static ReplicatedTable<String, Value> table() {
        return new ReplicatedTable<>(Comparator.comparingLong(Value::version), Value::hasSameContent);
    }

    /**
     * Guards against tables that do not converge, in whichever order values are sent and however small the batches are.
     */
    @Property(tries = 60, seed = "7")
    void tablesConvergeOverAnyConnectedNetwork(
            @ForAll @IntRange(min = 2, max = 12) int instances,
            @ForAll @IntRange(min = 1, max = 5) int maxValues,
            @ForAll @IntRange(min = 0, max = 1_000) int seed) {
        Random random = new Random(seed);
        List<ReplicatedTable<String, Value>> tables = new ArrayList<>();
        Map<Integer, Long> sent = new HashMap<>();
        Map<String, Long> newest = new HashMap<>();
        for (int i = 0; i < instances; i++) {
            tables.add(table());
        }
        for (int step = 0; step < 400; step++) {
            int from = random.nextInt(instances);
            if (step < 100) {
                String key = "k" + random.nextInt(6);
                long version = newest.merge(key, 1L + random.nextInt(9), Long::sum);
                tables.get(from).put(key, new Value(key, version), ReplicatedTable.LOCAL);
            }
            // The network is a ring; the link number is "to + 1" at the sender and "from + 1" at the receiver.
            send(tables, sent, from, (from + 1) % instances, maxValues);
            send(tables, sent, (from + 1) % instances, from, maxValues);
        }
        for (int round = 0; round < 20 * instances; round++) {
            for (int i = 0; i < instances; i++) {
                send(tables, sent, i, (i + 1) % instances, maxValues);
                send(tables, sent, (i + 1) % instances, i, maxValues);
            }
        }
        for (ReplicatedTable<String, Value> table : tables) {
            newest.forEach((key, version) -> {
                Value last = new Value(key, version);
                assertThat(table.get(key))
                        .hasValueSatisfying(v -> assertThat(v.hasSameContent(last))
                                .as("%s and %s", v, last)
                                .isTrue());
            });
        }
    }

    private static void send(
            List<ReplicatedTable<String, Value>> tables, Map<Integer, Long> sent, int from, int to, int maxValues) {
        int link = from * 100 + to;
        long since = sent.getOrDefault(link, 0L);
        var batch = tables.get(from).changes(since, to + 1, maxValues);
        assertThat(tables.get(from).hasChanges(since, to + 1))
                .isEqualTo(!batch.values().isEmpty());
        assertThat(batch.values()).hasSizeLessThanOrEqualTo(maxValues);
        batch.values().forEach(value -> tables.get(to).put(value.key(), value, from + 1));
        sent.put(link, batch.serial());
    }

    /**
     * Guards against values that are sent back on the link they arrived on, and against old values that replace newer
     * ones.
     */
    @Test
    void valuesAreNotSentBackNorReplacedByOlderOnes() {
        var table = table();
        assertThat(table.put("a", new Value("a", 20), 5)).isTrue();
        assertThat(table.put("a", new Value("a", 20), 6)).isFalse();
        assertThat(table.changes(0, 5, 10).values()).isEmpty();
        assertThat(table.changes(0, 6, 10).values()).isEmpty();
        assertThat(table.changes(0, 7, 10).values()).containsExactly(new Value("a", 20));
        assertThat(table.changes(table.changes(0, 7, 10).serial(), 7, 10).values())
                .isEmpty();
        assertThat(table.put("a", new Value("a", 1), 6)).isFalse();
        assertThat(table.get("a")).contains(new Value("a", 20));
    }

    /** Guards against instances that pass on every heartbeat, or correct each other for ever. */
    @Test
    void newerVersionsWithSameContentAreNotPassedOn() {
        var table = table();
        table.put("a", new Value("a", 20), 5);
        long sent = table.changes(0, 6, 10).serial();
        assertThat(table.put("a", new Value("a", 25), ReplicatedTable.LOCAL)).isFalse();
        assertThat(table.put("a", new Value("a", 21), 5)).isFalse();
        assertThat(table.changes(sent, 6, 10).values()).isEmpty();
        assertThat(table.get("a")).contains(new Value("a", 25));
    }

    /** Guards against a sender that keeps an old value. */
    @Test
    void senderOfOldValueIsCorrected() {
        var table = table();
        table.put("a", new Value("a", 20), 5);
        long sent = table.changes(0, 5, 10).serial();
        assertThat(table.put("a", new Value("a", 5), 5)).isFalse();
        assertThat(table.changes(sent, 5, 10).values()).containsExactly(new Value("a", 20));
    }
}
