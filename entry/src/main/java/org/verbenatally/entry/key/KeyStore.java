package org.verbenatally.entry.key;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.ReentrantReadWriteLock;
import java.util.function.Function;
import java.util.function.LongSupplier;

import org.jboss.logging.Logger;
import org.verbenatally.core.Incarnation;
import org.verbenatally.core.InstanceId;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;
import org.verbenatally.peer.PeerNetwork;
import org.verbenatally.time.TimerService;
import org.verbenatally.wire.KeyEntry;
import org.verbenatally.wire.KeyTransfer;

/**
 * The key tables with which this instance decides about keys: its own, and those that leaving instances have
 * transferred to it. A decision runs the call of a key or returns the result of an earlier one. No decision is made
 * while the tables are being transferred, so that the successor receives every used key. A successor decides only after
 * the sender has announced it. A sender whose transfer was not confirmed resumes deciding or chooses another successor;
 * if two instances decided about one key, its call could run twice.
 */
public final class KeyStore {
    private static final Logger LOG = Logger.getLogger(KeyStore.class);
    /** Maximum size in bytes of the entries in one part; a frame is limited to 1 MiB. */
    private static final int PART_BYTES = 512 * 1024;
    /** Size in bytes that an entry is assumed to take in addition to its key and body. */
    private static final int ENTRY_OVERHEAD = 64;

    private static final long NANOS_PER_MILLI = 1_000_000;
    /** Maximum number of adopted tables. Beyond it the oldest is dropped, and its keys become unknown. */
    private static final int MAX_ADOPTED = 64;

    private final IncarnationId ownId;
    private final KeyTable own;
    private final KeyIssuer issuer;
    private final TimerService timer;
    private final PeerNetwork peers;
    private final Map<IncarnationId, Adopted> adopted = new LinkedHashMap<>();
    private final Map<IncarnationId, List<KeyTransfer>> receivedParts = new HashMap<>();
    private final ReentrantReadWriteLock lock = new ReentrantReadWriteLock();
    private CompletableFuture<Void> transferEnd;
    private InstanceId successor;

    /** Identifies one incarnation of an instance. */
    private record IncarnationId(InstanceId instance, Incarnation incarnation) {}

    /** A table of another incarnation; {@code active} once the sender has announced this instance as its successor. */
    private record Adopted(KeyTable table, LongSupplier uptimeMs, IncarnationId sender, AtomicBoolean active) {}

    /** Where, and whether at present, the decision about a key is made. */
    sealed interface Location {}

    /** This instance decides with this table. */
    record Local(KeyTable table) implements Location {}

    /** This instance is transferring its tables; decisions wait until {@code end} completes. */
    record Transferring(CompletableFuture<Void> end) implements Location {}

    /** The successor of this instance decides. */
    record Transferred(InstanceId successor) implements Location {}

    /** This instance decides once the sender of the table has announced it as the successor. */
    record AwaitingAnnouncement() implements Location {}

    /** Another instance decides. */
    record Remote() implements Location {}

    /**
     * Creates the key tables of this incarnation.
     *
     * @param peers the members and the key successors they have announced
     */
    KeyStore(KeyIssuer issuer, TimerService timer, PeerNetwork peers) {
        this.issuer = Objects.requireNonNull(issuer, "issuer");
        this.timer = Objects.requireNonNull(timer, "timer");
        this.peers = Objects.requireNonNull(peers, "peers");
        this.ownId = new IncarnationId(issuer.self(), issuer.incarnation());
        this.own = new KeyTable(issuer.secretBytes(), issuer::uptimeMs);
    }

    /** Applies the action to the location of a key. The location does not change while the action runs. */
    <T> T withLocation(InstanceId owner, Incarnation incarnation, Function<Location, T> action) {
        lock.readLock().lock();
        try {
            return action.apply(locate(new IncarnationId(owner, incarnation)));
        } finally {
            lock.readLock().unlock();
        }
    }

    private Location locate(IncarnationId id) {
        boolean isOwn = id.equals(ownId);
        Adopted table = isOwn ? null : adopted.get(id);
        if (!isOwn && table == null) {
            return new Remote();
        }
        if (!isOwn && !isActive(table)) {
            return new AwaitingAnnouncement();
        }
        if (transferEnd != null) {
            return new Transferring(transferEnd);
        }
        if (successor != null) {
            return new Transferred(successor);
        }
        return new Local(isOwn ? own : table.table());
    }

    private boolean isActive(Adopted table) {
        if (!table.active().get()) {
            IncarnationId sender = table.sender();
            table.active().set(peers.isKeySuccessorOf(sender.instance(), sender.incarnation()));
        }
        return table.active().get();
    }

    /** Returns the number of used keys that this incarnation issued. */
    int ownUsedKeyCount() {
        return own.size();
    }

    /** Returns whether this instance has neither issued keys nor adopted tables, and can stop without a transfer. */
    public boolean hasNothingToTransfer() {
        lock.readLock().lock();
        try {
            return !issuer.hasIssued() && adopted.isEmpty();
        } finally {
            lock.readLock().unlock();
        }
    }

    /** Returns the number of used keys held here, including those of adopted tables. */
    public int usedKeyCount() {
        lock.readLock().lock();
        try {
            return own.size()
                    + adopted.values().stream().mapToInt(a -> a.table().size()).sum();
        } finally {
            lock.readLock().unlock();
        }
    }

    /** Removes expired keys whose calls have completed, in all tables. */
    void evictExpired() {
        lock.writeLock().lock();
        try {
            own.evictExpired();
            adopted.values().forEach(a -> a.table().evictExpired());
        } finally {
            lock.writeLock().unlock();
        }
    }

    /** Suspends all decisions until {@link #endTransfer}. */
    public void beginTransfer() {
        lock.writeLock().lock();
        try {
            if (transferEnd == null) {
                transferEnd = new CompletableFuture<>();
            }
        } finally {
            lock.writeLock().unlock();
        }
    }

    /** Returns the number of calls without a result, over all tables. */
    public int openCalls() {
        lock.readLock().lock();
        try {
            return own.openCalls()
                    + adopted.values().stream()
                            .mapToInt(a -> a.table().openCalls())
                            .sum();
        } finally {
            lock.readLock().unlock();
        }
    }

    /** Returns each table split into parts for its transfer; this incarnation's own table is the last. */
    public List<List<KeyTransfer>> transferParts() {
        lock.readLock().lock();
        try {
            List<List<KeyTransfer>> tables = new ArrayList<>();
            adopted.forEach((id, a) -> {
                if (isActive(a)) {
                    tables.add(split(id, a.table(), a.uptimeMs().getAsLong()));
                }
            });
            tables.add(split(ownId, own, issuer.uptimeMs()));
            return tables;
        } finally {
            lock.readLock().unlock();
        }
    }

    private static List<KeyTransfer> split(IncarnationId id, KeyTable table, long uptimeMs) {
        List<KeyTransfer> parts = new ArrayList<>();
        List<KeyEntry> entries = new ArrayList<>();
        int bytes = 0;
        for (KeyTable.UsedKey used : table.usedKeys()) {
            KeyEntry entry = new KeyEntry(
                    used.key(),
                    Math.max(0, uptimeMs - used.issuedAtMs()),
                    used.result().outcome().text(),
                    used.result().status(),
                    ByteBuffer.wrap(used.result().body()));
            int size = ENTRY_OVERHEAD + used.key().length() + used.result().body().length;
            if (bytes + size > PART_BYTES) {
                parts.add(part(id, table, uptimeMs, entries, false));
                entries = new ArrayList<>();
                bytes = 0;
            }
            entries.add(entry);
            bytes += size;
        }
        parts.add(part(id, table, uptimeMs, entries, true));
        return parts;
    }

    private static KeyTransfer part(
            IncarnationId id, KeyTable table, long uptimeMs, List<KeyEntry> entries, boolean last) {
        return new KeyTransfer(
                id.instance().value(),
                id.incarnation().value(),
                ByteBuffer.wrap(table.secret()),
                uptimeMs,
                entries,
                last);
    }

    /**
     * Ends a transfer. Decisions that waited for it are made here, or by the successor if there is one.
     *
     * @param confirmed the successor that confirmed the transfer and makes all decisions from now on; empty if none did
     */
    public void endTransfer(Optional<InstanceId> confirmed) {
        CompletableFuture<Void> ended;
        lock.writeLock().lock();
        try {
            confirmed.ifPresent(instance -> successor = instance);
            ended = transferEnd;
            transferEnd = null;
        } finally {
            lock.writeLock().unlock();
        }
        if (ended != null) {
            ended.complete(null);
        }
    }

    /**
     * Receives one part of a leaving instance's table. After the last part this instance decides about the table's keys
     * as soon as the sender announces it as its successor.
     *
     * @throws IllegalArgumentException if the part is not valid
     * @throws IllegalStateException if this instance is leaving too
     */
    public void adopt(InstanceId from, KeyTransfer part) {
        IncarnationId id =
                new IncarnationId(new InstanceId(part.getInstance()), new Incarnation(part.getIncarnation()));
        if (part.getSecret().length < 16 || part.getUptimeMs() < 0 || id.equals(ownId)) {
            throw new IllegalArgumentException("key transfer from " + from + " is not valid");
        }
        lock.writeLock().lock();
        try {
            if (transferEnd != null || successor != null) {
                throw new IllegalStateException("this instance is transferring its own keys");
            }
            List<KeyTransfer> parts = receivedParts.computeIfAbsent(id, key -> new ArrayList<>());
            parts.add(part);
            int entries = parts.stream().mapToInt(p -> p.getEntriesSize()).sum();
            if (entries > KeyTable.MAX_USED_KEYS) {
                receivedParts.remove(id);
                throw new IllegalArgumentException("key transfer from " + from + " has too many entries");
            }
            if (part.isLast()) {
                adoptTable(id, receivedParts.remove(id), sender(from));
                LOG.infof("key: adopted %d used keys of %s", entries, id.instance());
            }
        } finally {
            lock.writeLock().unlock();
        }
    }

    private IncarnationId sender(InstanceId from) {
        return peers.members().stream()
                .filter(member -> member.instance().equals(from))
                .map(member -> new IncarnationId(from, member.incarnation()))
                .findFirst()
                .orElseThrow(
                        () -> new IllegalArgumentException("key transfer from " + from + ", which is not a member"));
    }

    private void adoptTable(IncarnationId id, List<KeyTransfer> parts, IncarnationId sender) {
        long receivedNanos = timer.nanos();
        long receivedUptimeMs = parts.getLast().getUptimeMs();
        LongSupplier uptimeMs = () -> receivedUptimeMs + (timer.nanos() - receivedNanos) / NANOS_PER_MILLI;
        Adopted previous = adopted.remove(id);
        KeyTable table = new KeyTable(parts.getLast().getSecret(), uptimeMs);
        for (KeyTransfer part : parts) {
            for (KeyEntry entry : part.getEntries()) {
                IdempotencyKey.parse(entry.getKey())
                        .ifPresent(key ->
                                table.adopt(new KeyTable.UsedKey(entry.getKey(), key.issuedAtMs(), result(entry))));
            }
        }
        if (previous != null) {
            previous.table().usedKeys().forEach(table::adopt);
        }
        adopted.put(id, new Adopted(table, uptimeMs, sender, new AtomicBoolean()));
        while (adopted.size() > MAX_ADOPTED) {
            adopted.remove(adopted.keySet().iterator().next());
        }
    }

    private static CallResult result(KeyEntry entry) {
        Outcome outcome;
        try {
            outcome = Outcome.parse(entry.getOutcome());
        } catch (IllegalArgumentException e) {
            outcome = Outcome.UNKNOWN;
        }
        return outcome == Outcome.DONE
                ? CallResult.completed(entry.getStatus(), entry.getBody(), "")
                : CallResult.failed(outcome, Step.SEND, "", "result adopted from an instance that has left");
    }
}
