package org.verbenatally.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.jboss.logging.Logger;
import org.verbenatally.core.InstanceId;
import org.verbenatally.core.LogEvent;
import org.verbenatally.core.ServiceName;
import org.verbenatally.core.TargetId;
import org.verbenatally.time.TimerService;
import org.verbenatally.wire.PublishedTarget;
import org.verbenatally.wire.TargetLoad;

/**
 * The targets that are published, with what this instance and the others know of each. The list is read by a few
 * instances at a time, which pass on what has changed; of two entries the one of the higher revision counts. Safe for
 * use by several threads.
 */
public final class TargetDirectory {
    private static final Logger LOG = Logger.getLogger(TargetDirectory.class);

    /** Entries that lapsed while the list could not be read are written again within this time of its return. */
    private static final Duration RETURN_GRACE = Duration.ofSeconds(2);
    /** A target that has left is kept this long for requests that still run there and for slower peers. */
    private static final Duration MEMORY = Duration.ofSeconds(30);

    private final TimerService timer;
    private final Consumer<List<PublishedTarget>> onRead;
    private final Runnable onOwnLoad;
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
    private final Map<TargetId, TargetRow> rows = new HashMap<>();
    private final Map<TargetId, Long> leavingSince = new HashMap<>();
    private final Map<InstanceId, Map<TargetId, TargetRow.PeerLoad>> peerLoads = new HashMap<>();
    /** Targets that this instance has read since the list became reachable. */
    private final Set<TargetId> seenHere = new HashSet<>();
    /** Targets that may get new work, by service; replaced whenever the list changes. */
    private volatile Map<ServiceName, List<TargetRow>> candidates = Map.of();

    private boolean reachable;
    private long returned;
    private boolean known;
    private long knownAsOf;

    /**
     * Creates an empty directory.
     *
     * @param timer clock
     * @param onRead given what this instance has read, to be passed on
     * @param onOwnLoad told whenever the load of this instance at an engine changes
     */
    public TargetDirectory(TimerService timer, Consumer<List<PublishedTarget>> onRead, Runnable onOwnLoad) {
        this.timer = Objects.requireNonNull(timer, "timer");
        this.onRead = Objects.requireNonNull(onRead, "onRead");
        this.onOwnLoad = Objects.requireNonNull(onOwnLoad, "onOwnLoad");
    }

    /** Calls the listener after each change of the targets or of the load at them. */
    void onChange(Runnable listener) {
        listeners.add(listener);
    }

    private void changed() {
        listeners.forEach(Runnable::run);
    }

    private void ownLoadChanged() {
        onOwnLoad.run();
        changed();
    }

    /** Takes the whole list as this instance has read it. */
    public void published(PublishedList list) {
        List<TargetRow> left = new ArrayList<>();
        List<PublishedTarget> read = new ArrayList<>();
        synchronized (this) {
            long now = timer.nanos();
            if (!reachable) {
                reachable = true;
                returned = now;
                seenHere.clear();
                LogEvent.of("directory.reachable")
                        .with("targets", list.entries().size())
                        .info(LOG);
            }
            asOf(now);
            Set<TargetId> listed = new HashSet<>();
            for (PublishedList.Entry entry : list.entries()) {
                listed.add(entry.target().id());
                publish(entry.target(), entry.revision(), now, left);
                read.add(TargetNews.of(entry.target(), entry.revision()));
            }
            boolean settled = now - returned >= RETURN_GRACE.toNanos();
            for (TargetRow row : rows.values()) {
                TargetId id = row.target().id();
                boolean missing = !listed.contains(id) && !row.isWithdrawn() && row.revision() < list.revision();
                if (missing && (settled || seenHere.contains(id))) {
                    withdraw(row, list.revision(), now, left);
                    read.add(TargetNews.withdrawn(id, list.revision()));
                }
            }
            seenHere.addAll(listed);
            forget(now);
            refresh();
        }
        onRead.accept(read);
        announce(left);
    }

    /** Takes entries that other instances have read. */
    void heard(Collection<PublishedTarget> entries) {
        List<TargetRow> left = new ArrayList<>();
        synchronized (this) {
            long now = timer.nanos();
            for (PublishedTarget entry : entries) {
                TargetId id = new TargetId(entry.getTarget());
                TargetRow row = rows.get(id);
                Optional<ForwardTarget> target = TargetNews.target(entry);
                if (target.isPresent()) {
                    publish(target.get(), entry.getRevision(), now, left);
                } else if (row != null && !row.isWithdrawn() && row.revision() < entry.getRevision()) {
                    withdraw(row, entry.getRevision(), now, left);
                }
            }
            refresh();
        }
        announce(left);
    }

    /** Notes that all changes up to a read of the given age are known. */
    synchronized void heardAsOf(Duration age) {
        asOf(timer.nanos() - age.toNanos());
    }

    private void asOf(long nanos) {
        if (!known || nanos - knownAsOf > 0) {
            known = true;
            knownAsOf = nanos;
        }
    }

    /** Returns the age of the newest read, here or elsewhere, whose results are all known; empty if there was none. */
    public synchronized Optional<Duration> age() {
        return known ? Optional.of(Duration.ofNanos(timer.nanos() - knownAsOf)) : Optional.empty();
    }

    private void publish(ForwardTarget entry, long revision, long now, List<TargetRow> left) {
        TargetRow row = rows.get(entry.id());
        if (row != null && row.revision() >= revision) {
            return;
        }
        if (row == null) {
            row = new TargetRow(entry, revision, this::ownLoadChanged);
            rows.put(entry.id(), row);
            applyPeerLoads(row);
            LogEvent.of("target.found")
                    .with("target", entry.id())
                    .with("service", entry.service())
                    .with("domain", entry.failureDomain())
                    .info(LOG);
        }
        boolean wasLeaving = row.isLeaving();
        row.publish(entry, revision);
        if (!entry.leaving()) {
            leavingSince.remove(entry.id());
        } else if (!wasLeaving || !leavingSince.containsKey(entry.id())) {
            leaves(row, "draining", now, left);
        }
    }

    private void withdraw(TargetRow row, long revision, long now, List<TargetRow> left) {
        boolean wasLeaving = row.isLeaving();
        row.withdraw(revision);
        if (!wasLeaving) {
            leaves(row, "withdrawn", now, left);
        }
    }

    private void leaves(TargetRow row, String reason, long now, List<TargetRow> left) {
        leavingSince.putIfAbsent(row.target().id(), now);
        left.add(row);
        LogEvent.of("target.leaving")
                .with("target", row.target().id())
                .with("reason", reason)
                .with("requests", row.ownRequests())
                .info(LOG);
    }

    private void forget(long now) {
        leavingSince.entrySet().removeIf(entry -> {
            TargetRow row = rows.get(entry.getKey());
            boolean old = now - entry.getValue() > MEMORY.toNanos() && (row == null || row.ownRequests() == 0);
            if (old) {
                rows.remove(entry.getKey());
            }
            return old;
        });
    }

    private void refresh() {
        Map<ServiceName, List<TargetRow>> next = new HashMap<>();
        rows.values().stream()
                .filter(row -> !row.isLeaving())
                .forEach(row -> next.computeIfAbsent(row.target().service(), s -> new ArrayList<>())
                        .add(row));
        candidates = next;
    }

    private void announce(List<TargetRow> left) {
        left.forEach(row -> row.flights().forEach(Flight::targetLeaves));
        changed();
    }

    /** The list could not be read. */
    public synchronized void unreachable(String reason) {
        if (reachable) {
            reachable = false;
            LogEvent.of("directory.unreachable").with("reason", reason).warn(LOG);
        }
    }

    /** Tells whether the list was read at least once, here or elsewhere. */
    public synchronized boolean isKnown() {
        return known;
    }

    /** Returns the targets of a service that may get new work; the list must not be changed. */
    List<TargetRow> candidates(ServiceName service) {
        return candidates.getOrDefault(service, List.of());
    }

    /** Returns how many targets of a service were found to leave within the given time. */
    synchronized int departures(ServiceName service, Duration within) {
        long since = timer.nanos() - within.toNanos();
        return (int) leavingSince.entrySet().stream()
                .filter(e -> e.getValue() - since >= 0 && rows.containsKey(e.getKey()))
                .filter(e -> rows.get(e.getKey()).target().service().equals(service))
                .count();
    }

    /** Tells whether a target must get no new work. */
    boolean isLeaving(TargetRow row) {
        return row.isLeaving();
    }

    /** Returns what this instance has at each target and what it has seen fail there, for peers. */
    synchronized List<TargetLoad> ownLoads() {
        long now = timer.nanos();
        List<TargetLoad> loads = new ArrayList<>();
        for (TargetRow row : rows.values()) {
            int failures = row.outcomes().failures(now);
            if (row.ownRequests() > 0 || row.ownTokens() > 0 || failures > 0) {
                var load = new TargetLoad(row.target().id().value(), row.ownRequests(), row.ownTokens());
                load.setUnreadTokens(row.unreadTokens());
                if (failures > 0) {
                    load.setFailures(failures).setAnswers(row.outcomes().answers(now));
                }
                loads.add(load);
            }
        }
        return loads;
    }

    /** Takes what another instance has at each target, which replaces what it said before. */
    void peerLoads(InstanceId peer, List<TargetLoad> loads) {
        synchronized (this) {
            Map<TargetId, TargetRow.PeerLoad> next = new HashMap<>();
            loads.forEach(load -> next.put(
                    new TargetId(load.getTarget()),
                    new TargetRow.PeerLoad(
                            load.getRequests(),
                            load.getTokens(),
                            load.getUnreadTokens(),
                            load.getFailures(),
                            load.getAnswers())));
            Map<TargetId, TargetRow.PeerLoad> before = Objects.requireNonNullElse(
                    next.isEmpty() ? peerLoads.remove(peer) : peerLoads.put(peer, next), Map.of());
            before.keySet().stream()
                    .filter(id -> !next.containsKey(id))
                    .forEach(id -> peerLoad(peer, id, TargetRow.PeerLoad.NONE));
            next.forEach((id, load) -> peerLoad(peer, id, load));
        }
        changed();
    }

    private void peerLoad(InstanceId peer, TargetId target, TargetRow.PeerLoad load) {
        TargetRow row = rows.get(target);
        if (row != null) {
            row.peerLoad(peer, load);
        }
    }

    private void applyPeerLoads(TargetRow row) {
        peerLoads.forEach((peer, loads) -> {
            TargetRow.PeerLoad load = loads.get(row.target().id());
            if (load != null) {
                row.peerLoad(peer, load);
            }
        });
    }

    /** Forgets what another instance said, after it has gone. */
    void forgetPeer(InstanceId peer) {
        peerLoads(peer, List.of());
    }
}
