package org.verbenatally.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;

import org.jboss.logging.Logger;
import org.verbenatally.core.InstanceId;
import org.verbenatally.core.LogEvent;
import org.verbenatally.core.ServiceName;
import org.verbenatally.core.TargetId;
import org.verbenatally.time.TimerService;
import org.verbenatally.wire.TargetLoad;

/**
 * The targets that are published, with what this instance and its peers know of each. The source of the list reports
 * each read, also a failed one. Safe for use by several threads.
 */
public final class TargetDirectory {
    private static final Logger LOG = Logger.getLogger(TargetDirectory.class);

    /** Entries that lapsed while the list could not be read are written again within this time of its return. */
    private static final Duration RETURN_GRACE = Duration.ofSeconds(2);
    /** A target that has left is kept this long for requests that still run there and for slower peers. */
    private static final Duration MEMORY = Duration.ofSeconds(30);
    /** A read of the list that is this much younger than a peer's word about a leaving target outweighs it. */
    private static final Duration PEER_WORD = Duration.ofSeconds(1);

    private final TimerService timer;
    private final Runnable onNews;
    private final Map<TargetId, TargetRow> rows = new HashMap<>();
    private final Map<TargetId, Long> leavingSince = new HashMap<>();
    private final Map<InstanceId, Map<TargetId, Long>> leavingAtPeers = new HashMap<>();
    private boolean reachable;
    private boolean everRead;
    private long returned;
    private long lastRead;

    /**
     * Creates an empty directory.
     *
     * @param timer clock
     * @param onNews told when a target is found to leave, which peers should know at once
     */
    public TargetDirectory(TimerService timer, Runnable onNews) {
        this.timer = Objects.requireNonNull(timer, "timer");
        this.onNews = Objects.requireNonNull(onNews, "onNews");
    }

    /** Takes the whole published list. */
    public void published(Collection<ForwardTarget> list) {
        List<TargetRow> left = new ArrayList<>();
        synchronized (this) {
            long now = timer.nanos();
            if (!reachable) {
                reachable = true;
                returned = everRead ? now : now - RETURN_GRACE.toNanos();
                LogEvent.of("directory.reachable").with("targets", list.size()).info(LOG);
            }
            everRead = true;
            lastRead = now;
            Set<TargetId> listed = new HashSet<>();
            for (ForwardTarget entry : list) {
                listed.add(entry.id());
                publish(entry, now, left);
            }
            if (now - returned >= RETURN_GRACE.toNanos()) {
                rows.values().stream()
                        .filter(row -> !listed.contains(row.target().id()))
                        .forEach(row -> withdraw(row, now, left));
            }
            forget(now);
        }
        announce(left);
    }

    private void publish(ForwardTarget entry, long now, List<TargetRow> left) {
        TargetRow row = rows.get(entry.id());
        if (row == null) {
            row = new TargetRow(entry);
            rows.put(entry.id(), row);
            LogEvent.of("target.found")
                    .with("target", entry.id())
                    .with("service", entry.service())
                    .with("domain", entry.failureDomain())
                    .info(LOG);
        }
        boolean wasLeaving = row.isLeaving();
        row.publish(entry);
        if (!entry.leaving()) {
            leavingSince.remove(entry.id());
        } else if (!wasLeaving || !leavingSince.containsKey(entry.id())) {
            leaves(row, "draining", now, left);
        }
    }

    private void withdraw(TargetRow row, long now, List<TargetRow> left) {
        boolean wasLeaving = row.isLeaving();
        row.withdraw();
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

    private void announce(List<TargetRow> left) {
        left.forEach(row -> row.flights().forEach(Flight::targetLeaves));
        if (!left.isEmpty()) {
            onNews.run();
        }
    }

    /** The list could not be read. */
    public synchronized void unreachable(String reason) {
        if (reachable) {
            reachable = false;
            LogEvent.of("directory.unreachable").with("reason", reason).warn(LOG);
        }
    }

    /** Tells whether the list was read at least once. */
    public synchronized boolean isKnown() {
        return everRead;
    }

    /** Returns the targets of a service that may get new work. */
    synchronized List<TargetRow> candidates(ServiceName service) {
        long now = timer.nanos();
        return rows.values().stream()
                .filter(row -> row.target().service().equals(service) && !row.isLeaving())
                .filter(row -> !peersSayLeaving(row.target().id(), now))
                .toList();
    }

    /** Returns how many targets of a service were found to leave within the given time. */
    synchronized int departures(ServiceName service, Duration within) {
        long since = timer.nanos() - within.toNanos();
        return (int) leavingSince.entrySet().stream()
                .filter(e -> e.getValue() - since >= 0 && rows.containsKey(e.getKey()))
                .filter(e -> rows.get(e.getKey()).target().service().equals(service))
                .count();
    }

    private boolean peersSayLeaving(TargetId id, long now) {
        return leavingAtPeers.values().stream()
                .map(said -> said.get(id))
                .anyMatch(heard -> heard != null && lastRead - heard < PEER_WORD.toNanos());
    }

    /** Tells whether a target must get no new work. */
    synchronized boolean isLeaving(TargetRow row) {
        return row.isLeaving() || peersSayLeaving(row.target().id(), timer.nanos());
    }

    /** Returns the targets that the list shows as leaving or has dropped, for peers. */
    synchronized Set<TargetId> leaving() {
        return Set.copyOf(leavingSince.keySet());
    }

    /** Takes the leaving targets of a peer, which replace what it said before. */
    void peerLeaving(InstanceId peer, Set<TargetId> targets) {
        List<TargetRow> left = new ArrayList<>();
        synchronized (this) {
            long now = timer.nanos();
            Map<TargetId, Long> before = leavingAtPeers.getOrDefault(peer, Map.of());
            Map<TargetId, Long> said = new HashMap<>();
            for (TargetId id : targets) {
                said.put(id, before.getOrDefault(id, now));
                TargetRow row = rows.get(id);
                if (!before.containsKey(id) && row != null && !isLeaving(row)) {
                    left.add(row);
                }
            }
            leavingAtPeers.put(peer, said);
        }
        left.forEach(row -> row.flights().forEach(Flight::targetLeaves));
    }

    /** Returns what this instance has at each target, for peers. */
    synchronized List<TargetLoad> ownLoads() {
        return rows.values().stream()
                .filter(row -> row.ownRequests() > 0 || row.ownTokens() > 0)
                .map(row -> new TargetLoad(row.target().id().value(), row.ownRequests(), row.ownTokens())
                        .setUnreadTokens(row.unreadTokens()))
                .toList();
    }

    /** Takes what a peer has at each target, which replaces what it said before. */
    synchronized void peerLoads(InstanceId peer, List<TargetLoad> loads) {
        Map<String, TargetLoad> byTarget =
                loads.stream().collect(Collectors.toMap(TargetLoad::getTarget, load -> load, (a, b) -> b));
        rows.values().forEach(row -> {
            TargetLoad load = byTarget.get(row.target().id().value());
            if (load == null) {
                row.forgetPeer(peer);
            } else {
                row.peerLoad(
                        peer, new TargetRow.PeerLoad(load.getRequests(), load.getTokens(), load.getUnreadTokens()));
            }
        });
    }

    /** Forgets what a peer said, after it has gone. */
    synchronized void forgetPeer(InstanceId peer) {
        leavingAtPeers.remove(peer);
        rows.values().forEach(row -> row.forgetPeer(peer));
    }
}
