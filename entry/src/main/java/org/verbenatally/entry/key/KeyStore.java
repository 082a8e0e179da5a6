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
 * The key tables that this instance decides about: its own, and those of instances that left and transferred theirs.
 * While tables are being transferred nothing is decided, so that the successor misses no used key. A successor decides
 * only after the sender has announced it: a sender whose transfer was not confirmed decides again itself or picks
 * another successor, and two instances that decide about one key could run it twice.
 */
public final class KeyStore {
    private static final Logger LOG = Logger.getLogger(KeyStore.class);
    /** Most bytes of entries in one part; a frame may have 1 MiB. */
    private static final int PART_BYTES = 512 * 1024;
    /** Bytes of an entry beside key and body. */
    private static final int ENTRY_OVERHEAD = 64;

    private static final long NANOS_PER_MILLI = 1_000_000;
    /** Most runs whose tables are held; the oldest is dropped, and its keys become unknown. */
    private static final int MAX_ADOPTED = 64;

    private final RunId ownId;
    private final KeyTable own;
    private final KeyIssuer issuer;
    private final TimerService timer;
    private final PeerNetwork peers;
    private final Map<RunId, Adopted> adopted = new LinkedHashMap<>();
    private final Map<RunId, List<KeyTransfer>> staged = new HashMap<>();
    private final ReentrantReadWriteLock lock = new ReentrantReadWriteLock();
    private CompletableFuture<Void> moving;
    private InstanceId successor;

    private record RunId(InstanceId instance, Incarnation run) {}

    /** A table that was taken over; {@code active} once the sender has announced this instance as its successor. */
    private record Adopted(KeyTable table, LongSupplier uptimeMs, RunId sender, AtomicBoolean active) {}

    /** Where the decision about a key is made. */
    sealed interface Place {}

    /** Here, with this table. */
    record Held(KeyTable table) implements Place {}

    /** Not now: the tables are being transferred. */
    record Moving(CompletableFuture<Void> end) implements Place {}

    /** At the successor of this instance. */
    record Moved(InstanceId successor) implements Place {}

    /** Here, once the sender of the table has announced it. */
    record Announced() implements Place {}

    /** At another instance. */
    record Elsewhere() implements Place {}

    /**
     * Creates the tables of one run of this instance.
     *
     * @param peers knows the members and what they announce
     */
    KeyStore(KeyIssuer issuer, TimerService timer, PeerNetwork peers) {
        this.issuer = Objects.requireNonNull(issuer, "issuer");
        this.timer = Objects.requireNonNull(timer, "timer");
        this.peers = Objects.requireNonNull(peers, "peers");
        this.ownId = new RunId(issuer.self(), issuer.run());
        this.own = new KeyTable(issuer.secretBytes(), issuer::uptimeMs);
    }

    /** Calls the decision with the place of a key; the place does not change while the decision runs. */
    <T> T decide(InstanceId owner, Incarnation run, Function<Place, T> decision) {
        lock.readLock().lock();
        try {
            return decision.apply(place(new RunId(owner, run)));
        } finally {
            lock.readLock().unlock();
        }
    }

    private Place place(RunId id) {
        boolean isOwn = id.equals(ownId);
        Adopted table = isOwn ? null : adopted.get(id);
        if (!isOwn && table == null) {
            return new Elsewhere();
        }
        if (!isOwn && !isActive(table)) {
            return new Announced();
        }
        if (moving != null) {
            return new Moving(moving);
        }
        if (successor != null) {
            return new Moved(successor);
        }
        return new Held(isOwn ? own : table.table());
    }

    private boolean isActive(Adopted table) {
        if (!table.active().get()) {
            RunId sender = table.sender();
            table.active().set(peers.isKeySuccessorOf(sender.instance(), sender.run()));
        }
        return table.active().get();
    }

    int size() {
        return own.size();
    }

    /** Tells whether no key needs this instance's memory: it issued none and took over none. */
    public boolean isUnneeded() {
        lock.readLock().lock();
        try {
            return !issuer.hasIssued() && adopted.isEmpty();
        } finally {
            lock.readLock().unlock();
        }
    }

    /** Returns the used keys held here, those of adopted tables included. */
    public int used() {
        lock.readLock().lock();
        try {
            return own.size()
                    + adopted.values().stream().mapToInt(a -> a.table().size()).sum();
        } finally {
            lock.readLock().unlock();
        }
    }

    void trim() {
        lock.writeLock().lock();
        try {
            own.trim();
            adopted.values().forEach(a -> a.table().trim());
        } finally {
            lock.writeLock().unlock();
        }
    }

    /** Stops decisions until {@link #endTransfer}. */
    public void beginTransfer() {
        lock.writeLock().lock();
        try {
            if (moving == null) {
                moving = new CompletableFuture<>();
            }
        } finally {
            lock.writeLock().unlock();
        }
    }

    /** Returns the number of calls that have no result yet. */
    public int open() {
        lock.readLock().lock();
        try {
            return own.open()
                    + adopted.values().stream().mapToInt(a -> a.table().open()).sum();
        } finally {
            lock.readLock().unlock();
        }
    }

    /** Returns the parts of each table, this instance's own last. */
    public List<List<KeyTransfer>> parts() {
        lock.readLock().lock();
        try {
            List<List<KeyTransfer>> tables = new ArrayList<>();
            adopted.forEach((id, a) -> {
                if (isActive(a)) {
                    tables.add(parts(id, a.table(), a.uptimeMs().getAsLong()));
                }
            });
            tables.add(parts(ownId, own, issuer.uptimeMs()));
            return tables;
        } finally {
            lock.readLock().unlock();
        }
    }

    private static List<KeyTransfer> parts(RunId id, KeyTable table, long uptimeMs) {
        List<KeyTransfer> parts = new ArrayList<>();
        List<KeyEntry> entries = new ArrayList<>();
        int bytes = 0;
        for (KeyTable.Used used : table.used()) {
            KeyEntry entry = new KeyEntry(
                    used.key(),
                    Math.max(0, uptimeMs - used.stampMs()),
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

    private static KeyTransfer part(RunId id, KeyTable table, long uptimeMs, List<KeyEntry> entries, boolean last) {
        return new KeyTransfer(
                id.instance().value(), id.run().value(), ByteBuffer.wrap(table.secret()), uptimeMs, entries, last);
    }

    /** Ends a transfer; with a successor that confirmed, all further decisions are made there. */
    public void endTransfer(Optional<InstanceId> confirmed) {
        CompletableFuture<Void> ended;
        lock.writeLock().lock();
        try {
            confirmed.ifPresent(instance -> successor = instance);
            ended = moving;
            moving = null;
        } finally {
            lock.writeLock().unlock();
        }
        if (ended != null) {
            ended.complete(null);
        }
    }

    /**
     * Takes one part of a leaving instance's table. After the last part this instance decides about its keys as soon as
     * the sender announces it.
     *
     * @throws IllegalArgumentException if the part is not valid
     * @throws IllegalStateException if this instance is leaving too
     */
    public void adopt(InstanceId from, KeyTransfer part) {
        RunId id = new RunId(new InstanceId(part.getInstance()), new Incarnation(part.getIncarnation()));
        if (part.getSecret().length < 16 || part.getUptimeMs() < 0 || id.equals(ownId)) {
            throw new IllegalArgumentException("key transfer from " + from + " is not valid");
        }
        lock.writeLock().lock();
        try {
            if (moving != null || successor != null) {
                throw new IllegalStateException("this instance hands its own keys over");
            }
            List<KeyTransfer> parts = staged.computeIfAbsent(id, key -> new ArrayList<>());
            parts.add(part);
            int entries = parts.stream().mapToInt(p -> p.getEntriesSize()).sum();
            if (entries > KeyTable.RECORD_BOUND) {
                staged.remove(id);
                throw new IllegalArgumentException("key transfer from " + from + " has too many entries");
            }
            if (part.isLast()) {
                complete(id, staged.remove(id), sender(from));
                LOG.infof("key: took over %d used keys of %s", entries, id.instance());
            }
        } finally {
            lock.writeLock().unlock();
        }
    }

    private RunId sender(InstanceId from) {
        return peers.members().stream()
                .filter(member -> member.instance().equals(from))
                .map(member -> new RunId(from, member.incarnation()))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("key transfer from " + from + ", which is no member"));
    }

    private void complete(RunId id, List<KeyTransfer> parts, RunId sender) {
        long receivedNanos = timer.nanos();
        long uptimeAtReceipt = parts.getLast().getUptimeMs();
        LongSupplier uptime = () -> uptimeAtReceipt + (timer.nanos() - receivedNanos) / NANOS_PER_MILLI;
        Adopted before = adopted.remove(id);
        KeyTable table = new KeyTable(parts.getLast().getSecret(), uptime);
        for (KeyTransfer part : parts) {
            for (KeyEntry entry : part.getEntries()) {
                IdempotencyKey.read(entry.getKey())
                        .ifPresent(key -> table.adopt(new KeyTable.Used(entry.getKey(), key.stampMs(), result(entry))));
            }
        }
        if (before != null) {
            before.table().used().forEach(table::adopt);
        }
        adopted.put(id, new Adopted(table, uptime, sender, new AtomicBoolean()));
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
                ? CallResult.done(entry.getStatus(), entry.getBody(), "")
                : CallResult.failed(outcome, Step.SEND, "", "result taken over from an instance that left");
    }
}
