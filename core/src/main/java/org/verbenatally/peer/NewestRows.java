package org.verbenatally.peer;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SequencedMap;
import java.util.function.BiPredicate;

/**
 * A table that instances pass on to each other row by row. Of two values of one key the newer one counts, so that the
 * tables of all instances become equal in whichever order rows arrive. Safe for use by several threads.
 *
 * @param <K> identifies a row
 * @param <V> an immutable value that knows its version
 */
final class NewestRows<K, V> {
    /** Stands for this instance where the number of a link is expected. */
    static final int LOCAL = 0;

    /**
     * A row.
     *
     * @param serial grows with each change that is passed on
     * @param knownBy links whose peers have sent the row themselves
     */
    private record Row<V>(V value, long serial, int[] knownBy) {
        boolean isKnownBy(int link) {
            for (int known : knownBy) {
                if (known == link) {
                    return true;
                }
            }
            return false;
        }

        Row<V> withPeer(int link) {
            int[] more = Arrays.copyOf(knownBy, knownBy.length + 1);
            more[knownBy.length] = link;
            return new Row<>(value, serial, more);
        }
    }

    /**
     * Rows that a link has not been sent yet.
     *
     * @param values the rows, those that changed first before the others
     * @param serial value to pass to the next call
     * @param complete whether no further rows are left for the link
     */
    record Batch<V>(List<V> values, long serial, boolean complete) {}

    private final Comparator<V> versions;
    private final BiPredicate<V, V> same;
    /** In the order of the last change. */
    private final SequencedMap<K, Row<V>> rows = new LinkedHashMap<>();

    private long serial;

    /**
     * Creates an empty table.
     *
     * @param versions compares the versions of two values of one key
     * @param same tells whether two values differ in their version only, so that the newer one is not passed on
     */
    NewestRows(Comparator<V> versions, BiPredicate<V, V> same) {
        this.versions = Objects.requireNonNull(versions, "versions");
        this.same = Objects.requireNonNull(same, "same");
    }

    /**
     * Stores a value unless the present one is as new. Whoever sent an older one that says something else is sent the
     * present one.
     *
     * @param via the link that it came by, whose peer is not sent it again
     * @return whether it says something new
     */
    synchronized boolean put(K key, V value, int via) {
        Row<V> before = rows.get(key);
        if (before == null) {
            change(key, value, via);
            return true;
        }
        boolean newer = versions.compare(before.value, value) < 0;
        if (same.test(before.value, value)) {
            Row<V> now = newer ? new Row<>(value, before.serial, before.knownBy) : before;
            rows.replace(key, before.isKnownBy(via) ? now : now.withPeer(via));
            return false;
        }
        boolean older = versions.compare(before.value, value) > 0;
        if (newer) {
            change(key, value, via);
        } else if (older) {
            change(key, before.value, LOCAL);
        }
        return newer;
    }

    private void change(K key, V value, int via) {
        rows.remove(key);
        rows.put(key, new Row<>(value, ++serial, new int[] {via}));
    }

    synchronized Optional<V> get(K key) {
        return Optional.ofNullable(rows.get(key)).map(Row::value);
    }

    synchronized void remove(K key) {
        rows.remove(key);
    }

    /**
     * Returns what has changed since a serial, without what came by the link as well.
     *
     * @param since serial of the last batch for the link, 0 for the first one
     * @param link number of the link
     * @param most most rows of the batch; the others follow in the next one
     */
    synchronized Batch<V> changes(long since, int link, int most) {
        if (since == serial) {
            return new Batch<>(List.of(), serial, true);
        }
        List<V> values = new ArrayList<>();
        long reached = since;
        for (Row<V> row : changedSince(since)) {
            if (!row.isKnownBy(link)) {
                if (values.size() == most) {
                    return new Batch<>(values, reached, false);
                }
                values.add(row.value);
            }
            reached = row.serial;
        }
        return new Batch<>(values, serial, true);
    }

    /** Returns the rows that changed, in the order of their changes, without a walk over the others. */
    private List<Row<V>> changedSince(long since) {
        List<Row<V>> changed = new ArrayList<>();
        for (Row<V> row : rows.sequencedValues().reversed()) {
            if (row.serial <= since) {
                break;
            }
            changed.add(row);
        }
        return changed.reversed();
    }

    /** Returns whether a link has not been sent all that it lacks. */
    synchronized boolean hasChanges(long since, int link) {
        if (since == serial) {
            return false;
        }
        for (Row<V> row : rows.sequencedValues().reversed()) {
            if (row.serial <= since) {
                return false;
            }
            if (!row.isKnownBy(link)) {
                return true;
            }
        }
        return false;
    }
}
