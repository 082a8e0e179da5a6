package org.verbenatally.peer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

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

    private record Row<V>(V value, long serial, int via) {}

    /**
     * Rows that a link has not been sent yet.
     *
     * @param values the rows, those that changed first before the others
     * @param serial value to pass to the next call
     * @param complete whether no further rows are left for the link
     */
    record Batch<V>(List<V> values, long serial, boolean complete) {}

    private final Comparator<V> versions;
    /** In the order of the last change. */
    private final Map<K, Row<V>> rows = new LinkedHashMap<>();

    private long serial;

    /**
     * Creates an empty table.
     *
     * @param versions compares the versions of two values of one key
     */
    NewestRows(Comparator<V> versions) {
        this.versions = Objects.requireNonNull(versions, "versions");
    }

    /**
     * Stores a value unless the present one is as new.
     *
     * @param via the link that it came by, which is not sent it again
     * @return whether it was stored
     */
    synchronized boolean put(K key, V value, int via) {
        Row<V> before = rows.get(key);
        if (before != null && versions.compare(before.value, value) >= 0) {
            return false;
        }
        rows.remove(key);
        rows.put(key, new Row<>(value, ++serial, via));
        return true;
    }

    synchronized Optional<V> get(K key) {
        return Optional.ofNullable(rows.get(key)).map(Row::value);
    }

    synchronized void remove(K key) {
        rows.remove(key);
    }

    /**
     * Returns what has changed since a serial, without what came by the link itself.
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
        for (Row<V> row : rows.values()) {
            if (row.serial <= since) {
                continue;
            }
            if (row.via != link) {
                if (values.size() == most) {
                    return new Batch<>(values, reached, false);
                }
                values.add(row.value);
            }
            reached = row.serial;
        }
        return new Batch<>(values, serial, true);
    }
}
