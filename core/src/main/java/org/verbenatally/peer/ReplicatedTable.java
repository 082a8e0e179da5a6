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
 * A table that instances replicate to each other record by record. The newest value of each key wins, so the tables of
 * all instances converge in whatever order records arrive. Thread-safe.
 *
 * @param <K> type of the keys
 * @param <V> type of the values; immutable and versioned
 */
final class ReplicatedTable<K, V> {
    /** Source link number of a value written by this instance. */
    static final int LOCAL = 0;

    /**
     * A value with its replication state.
     *
     * @param serial serial number of its last change; grows with each change that must be passed on
     * @param knownTo links whose peers have sent this value themselves
     */
    private record Versioned<V>(V value, long serial, int[] knownTo) {
        boolean isKnownTo(int link) {
            for (int known : knownTo) {
                if (known == link) {
                    return true;
                }
            }
            return false;
        }

        Versioned<V> withKnownTo(int link) {
            int[] extended = Arrays.copyOf(knownTo, knownTo.length + 1);
            extended[knownTo.length] = link;
            return new Versioned<>(value, serial, extended);
        }
    }

    /**
     * Values that have not been sent on a link yet.
     *
     * @param values the values in the order in which they changed
     * @param serial value to pass to the next call
     * @param complete whether no further values remain to be sent on the link
     */
    record Batch<V>(List<V> values, long serial, boolean complete) {}

    private final Comparator<V> versions;
    private final BiPredicate<V, V> sameContent;
    /** Ordered by the time of the last change. */
    private final SequencedMap<K, Versioned<V>> byKey = new LinkedHashMap<>();

    private long serial;

    /**
     * Creates an empty table.
     *
     * @param versions compares the versions of two values of the same key
     * @param sameContent returns whether two values differ only in their version; the newer one is then not passed on
     */
    ReplicatedTable(Comparator<V> versions, BiPredicate<V, V> sameContent) {
        this.versions = Objects.requireNonNull(versions, "versions");
        this.sameContent = Objects.requireNonNull(sameContent, "sameContent");
    }

    /**
     * Stores a value if it is newer than the current one. A peer that sends an older value with other content is sent
     * the current one in return.
     *
     * @param sourceLink the link it arrived on; it is not sent back there
     * @return whether the content changed
     */
    synchronized boolean put(K key, V value, int sourceLink) {
        Versioned<V> current = byKey.get(key);
        if (current == null) {
            change(key, value, sourceLink);
            return true;
        }
        boolean newer = versions.compare(current.value, value) < 0;
        if (sameContent.test(current.value, value)) {
            Versioned<V> updated = newer ? new Versioned<>(value, current.serial, current.knownTo) : current;
            byKey.replace(key, current.isKnownTo(sourceLink) ? updated : updated.withKnownTo(sourceLink));
            return false;
        }
        boolean older = versions.compare(current.value, value) > 0;
        if (newer) {
            change(key, value, sourceLink);
        } else if (older) {
            change(key, current.value, LOCAL);
        }
        return newer;
    }

    private void change(K key, V value, int sourceLink) {
        byKey.remove(key);
        byKey.put(key, new Versioned<>(value, ++serial, new int[] {sourceLink}));
    }

    synchronized Optional<V> get(K key) {
        return Optional.ofNullable(byKey.get(key)).map(Versioned::value);
    }

    synchronized void remove(K key) {
        byKey.remove(key);
    }

    /**
     * Returns the values that have changed since a serial number, except those that the link's peer has sent itself.
     *
     * @param since serial number of the last batch for the link, 0 for the first one
     * @param link number of the link
     * @param maxValues maximum number of values in the batch; the rest follow in the next one
     */
    synchronized Batch<V> changes(long since, int link, int maxValues) {
        if (since == serial) {
            return new Batch<>(List.of(), serial, true);
        }
        List<V> values = new ArrayList<>();
        long lastSerial = since;
        for (Versioned<V> versioned : changedSince(since)) {
            if (!versioned.isKnownTo(link)) {
                if (values.size() == maxValues) {
                    return new Batch<>(values, lastSerial, false);
                }
                values.add(versioned.value);
            }
            lastSerial = versioned.serial;
        }
        return new Batch<>(values, serial, true);
    }

    /** Returns the changed values in the order of their changes, without iterating over the unchanged ones. */
    private List<Versioned<V>> changedSince(long since) {
        List<Versioned<V>> changed = new ArrayList<>();
        for (Versioned<V> versioned : byKey.sequencedValues().reversed()) {
            if (versioned.serial <= since) {
                break;
            }
            changed.add(versioned);
        }
        return changed.reversed();
    }

    /** Returns whether there are changes that have not been sent on a link yet. */
    synchronized boolean hasChanges(long since, int link) {
        if (since == serial) {
            return false;
        }
        for (Versioned<V> versioned : byKey.sequencedValues().reversed()) {
            if (versioned.serial <= since) {
                return false;
            }
            if (!versioned.isKnownTo(link)) {
                return true;
            }
        }
        return false;
    }
}
