package org.verbenatally.peer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Function;

import org.jboss.logging.Logger;
import org.verbenatally.core.Incarnation;
import org.verbenatally.core.InstanceId;
import org.verbenatally.core.LogEvent;
import org.verbenatally.core.TargetId;
import org.verbenatally.peer.MemberInfo.Status;
import org.verbenatally.peer.MemberRecord.Run;
import org.verbenatally.time.TimerService;
import org.verbenatally.wire.InstanceLoads;
import org.verbenatally.wire.TargetLoad;

/**
 * The in-flight load of all instances on each target, as reported by each of them. Reports are passed on, so that every
 * instance knows the load of the whole fleet and not only that of its neighbours. Reports of an unresponsive instance
 * are not counted until its heartbeats arrive again. Thread-safe.
 */
final class LoadTable {
    private static final Logger LOG = Logger.getLogger(LoadTable.class);

    /** A target without load is reported for this long, so that all instances learn that its load has ended. */
    private static final long ENDED_RETENTION_NANOS = TimeUnit.MINUTES.toNanos(1);

    /** Smallest change of the token count that is reported on its own; avoids an update for each token generated. */
    private static final long MIN_TOKENS_CHANGE = 1_024;

    /**
     * Reports that all instances together send only because of measured speeds, in a second: at 50 bytes each, a
     * quarter of what an instance may receive.
     */
    private static final double SPEED_REPORTS_PER_SECOND = 90;
    /** Such reports that one instance may send at once, after it has sent none for some time. */
    private static final double MAX_SPEED_REPORTS = 8;
    /** Bound of the instances that are remembered for an invalid speed. */
    private static final int MAX_INVALID_SPEEDS = 1_024;

    private record Key(InstanceId instance, String target) {
        // Implemented explicitly for the same reason as in InstanceId.
        @Override
        public boolean equals(Object other) {
            return other instanceof Key that && target.equals(that.target) && instance.equals(that.instance);
        }

        @Override
        public int hashCode() {
            return instance.hashCode() * 31 + target.hashCode();
        }
    }

    private record RunLoad(Run run, TargetLoad load) {
        static boolean isSame(RunLoad a, RunLoad b) {
            return a.run.equals(b.run) && a.load.equals(b.load);
        }
    }

    /** The loads that one instance has reported. */
    private static final class ReportedLoads {
        private final Map<String, TargetLoad> loads = new HashMap<>();
        private final Map<String, Long> ended = new HashMap<>();
        /** When this instance last reported each load; empty for others. */
        private final Map<String, Long> reportedAt = new HashMap<>();

        private Incarnation incarnation;
        private boolean counted = true;

        ReportedLoads(Incarnation incarnation) {
            this.incarnation = incarnation;
        }

        void update(TargetLoad load, long now) {
            if (isEmpty(load)) {
                loads.remove(load.getTarget());
                ended.put(load.getTarget(), now);
            } else {
                loads.put(load.getTarget(), load);
                ended.remove(load.getTarget());
            }
        }

        List<TargetLoad> counted() {
            return counted ? List.copyOf(loads.values()) : List.of();
        }
    }

    private final Run self;
    private final TimerService timers;
    private final ReplicatedTable<Key, RunLoad> table = new ReplicatedTable<>(
            Comparator.<RunLoad, Incarnation>comparing(runLoad -> runLoad.run().incarnation())
                    .thenComparingLong(runLoad -> runLoad.load().getNumber()),
            RunLoad::isSame);
    private final Map<InstanceId, ReportedLoads> instances = new HashMap<>();
    private long lastNumber;
    /** Instances from which an invalid speed was received. */
    private final Set<InstanceId> invalidSpeeds = new HashSet<>();

    private double speedReports = MAX_SPEED_REPORTS;
    private long speedReportsAt;

    LoadTable(Run self, TimerService timers) {
        this.self = Objects.requireNonNull(self, "self");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.speedReportsAt = timers.nanos();
        instances.put(self.instance(), new ReportedLoads(self.incarnation()));
    }

    private static boolean isEmpty(TargetLoad load) {
        return load.getRequests() == 0
                && load.getTokens() == 0
                && load.getUnreadTokens() == 0
                && load.getFailures() == 0
                && !SpeedFields.isSet(load);
    }

    /** Reports the in-flight load of this instance, which replaces its previous report. */
    synchronized void reportOwn(List<TargetLoad> loads) {
        ReportedLoads own = instances.get(self.instance());
        Map<String, TargetLoad> current = new HashMap<>();
        loads.forEach(load -> current.put(load.getTarget(), load));
        for (String target : Set.copyOf(own.loads.keySet())) {
            current.putIfAbsent(target, new TargetLoad(target, 0, 0));
        }
        long now = timers.nanos();
        refillSpeedReports(now);
        current.values().forEach(load -> {
            TargetLoad before = own.loads.get(load.getTarget());
            boolean ends = before != null && isEmpty(load);
            if (ends || isLoadNews(before, load) || isSpeedNews(own, before, load, now)) {
                reportOwn(own, load);
            }
            if (ends && SpeedFields.isSet(before)) {
                // The load may have ended before; this report is needed for the speed only, and cannot be left out.
                speedReports = Math.max(-MAX_SPEED_REPORTS, speedReports - 1);
            }
        });
    }

    private static boolean isLoadNews(TargetLoad before, TargetLoad load) {
        TargetLoad last = before == null ? new TargetLoad(load.getTarget(), 0, 0) : before;
        return last.getRequests() != load.getRequests()
                || before == null && load.getTokens() != 0
                || Math.abs(last.getTokens() - load.getTokens()) >= MIN_TOKENS_CHANGE
                || last.getUnreadTokens() != load.getUnreadTokens()
                || last.getFailures() != load.getFailures();
    }

    /** Returns whether the measured speed alone justifies a report, and counts the report. */
    private boolean isSpeedNews(ReportedLoads own, TargetLoad before, TargetLoad load, long now) {
        long age = now - own.reportedAt.getOrDefault(load.getTarget(), now);
        if (speedReports < 1 || !SpeedFields.isNews(before, load, age)) {
            return false;
        }
        speedReports--;
        return true;
    }

    private void refillSpeedReports(long now) {
        double perSecond = SPEED_REPORTS_PER_SECOND / instances.size();
        double seconds = (now - speedReportsAt) / (double) TimeUnit.SECONDS.toNanos(1);
        speedReports = Math.min(MAX_SPEED_REPORTS, speedReports + Math.max(0, seconds) * perSecond);
        speedReportsAt = now;
    }

    private void reportOwn(ReportedLoads own, TargetLoad load) {
        TargetLoad numbered = new TargetLoad(load).setNumber(++lastNumber);
        own.update(numbered, timers.nanos());
        if (isEmpty(numbered)) {
            own.reportedAt.remove(numbered.getTarget());
        } else {
            own.reportedAt.put(numbered.getTarget(), timers.nanos());
        }
        table.put(new Key(self.instance(), load.getTarget()), new RunLoad(self, numbered), ReplicatedTable.LOCAL);
    }

    /**
     * Stores reports that a peer has passed on.
     *
     * @param reports the loads, by run
     * @param sourceLink the link they arrived on
     * @param listener called for each instance whose load changed, with all of its loads
     * @return whether any load changed
     * @throws IllegalArgumentException if a field is invalid; nothing is stored in this case
     */
    synchronized boolean receive(
            List<InstanceLoads> reports, int sourceLink, BiConsumer<InstanceId, List<TargetLoad>> listener) {
        List<RunLoad> received = new ArrayList<>();
        for (InstanceLoads report : reports) {
            Run run = new Run(new InstanceId(report.getInstance()), new Incarnation(report.getIncarnation()));
            report.getLoads().forEach(load -> received.add(new RunLoad(run, checked(run.instance(), load))));
        }
        Set<InstanceId> changed = new HashSet<>();
        received.stream()
                .filter(runLoad -> store(runLoad, sourceLink))
                .forEach(runLoad -> changed.add(runLoad.run().instance()));
        for (InstanceId instance : changed) {
            ReportedLoads reported = instances.get(instance);
            if (reported.counted && !instance.equals(self.instance())) {
                listener.accept(instance, reported.counted());
            }
        }
        return !changed.isEmpty();
    }

    private TargetLoad checked(InstanceId instance, TargetLoad load) {
        new TargetId(load.getTarget());
        if (load.getRequests() < 0 || load.getTokens() < 0 || load.getUnreadTokens() < 0 || load.getNumber() < 0) {
            throw new IllegalArgumentException("load of " + load.getTarget() + " must not be negative: " + load);
        }
        if (load.getFailures() < 0 || load.getAnswers() < load.getFailures()) {
            throw new IllegalArgumentException(
                    "failures of " + load.getTarget() + " must be between 0 and the number of answers: " + load);
        }
        if (!SpeedFields.areValid(load)) {
            logInvalidSpeed(instance, load);
            return SpeedFields.without(load);
        }
        return load;
    }

    /** Logs an invalid speed; once for each run, since the run is likely to send more of them. */
    private void logInvalidSpeed(InstanceId instance, TargetLoad load) {
        if (invalidSpeeds.size() < MAX_INVALID_SPEEDS && invalidSpeeds.add(instance)) {
            LogEvent.of("peer.badSpeed")
                    .with("peer", instance)
                    .with("step", "gossip")
                    .with("target", load.getTarget())
                    .with("speedPermille", load.isSetSpeedPermille() ? load.getSpeedPermille() : "absent")
                    .with("speedWeight", load.isSetSpeedWeight() ? load.getSpeedWeight() : "absent")
                    .warn(LOG);
        }
    }

    private boolean store(RunLoad runLoad, int sourceLink) {
        InstanceId instance = runLoad.run().instance();
        if (instance.equals(self.instance())) {
            return correctOwn(runLoad);
        }
        ReportedLoads reported = instances.computeIfAbsent(
                instance, i -> new ReportedLoads(runLoad.run().incarnation()));
        int order = runLoad.run().incarnation().compareTo(reported.incarnation);
        if (order < 0) {
            return false;
        }
        if (order > 0) {
            reset(instance, reported, runLoad.run().incarnation());
        }
        boolean isNew = table.put(new Key(instance, runLoad.load().getTarget()), runLoad, sourceLink);
        if (isNew) {
            reported.update(runLoad.load(), timers.nanos());
        }
        return isNew;
    }

    /**
     * Reports the load of this run again if a peer passes on an old report that this instance no longer stores, as one
     * that was disconnected for long may do.
     */
    private boolean correctOwn(RunLoad runLoad) {
        ReportedLoads own = instances.get(self.instance());
        String target = runLoad.load().getTarget();
        boolean known = table.get(new Key(self.instance(), target))
                .filter(stored -> stored.load().getNumber() >= runLoad.load().getNumber())
                .isPresent();
        if (known || !runLoad.run().equals(self)) {
            return false;
        }
        lastNumber = Math.max(lastNumber, runLoad.load().getNumber());
        reportOwn(own, own.loads.getOrDefault(target, new TargetLoad(target, 0, 0)));
        return true;
    }

    private void reset(InstanceId instance, ReportedLoads reported, Incarnation incarnation) {
        reported.loads.keySet().forEach(target -> table.remove(new Key(instance, target)));
        reported.ended.keySet().forEach(target -> table.remove(new Key(instance, target)));
        invalidSpeeds.remove(instance);
        reported.loads.clear();
        reported.ended.clear();
        reported.incarnation = incarnation;
    }

    /**
     * Excludes the loads of unresponsive instances, counts those of instances that respond again, and removes expired
     * reports.
     *
     * @param member looks up the member record of an instance
     * @param listener called for each instance whose loads are counted again or no longer counted, with the loads to
     *     count
     */
    synchronized void tick(
            Function<InstanceId, Optional<MemberInfo>> member, BiConsumer<InstanceId, List<TargetLoad>> listener) {
        long now = timers.nanos();
        instances.forEach((instance, reported) -> {
            reported.ended.entrySet().removeIf(ended -> {
                boolean expired = now - ended.getValue() > ENDED_RETENTION_NANOS;
                if (expired) {
                    table.remove(new Key(instance, ended.getKey()));
                }
                return expired;
            });
            if (instance.equals(self.instance())) {
                return;
            }
            Optional<MemberInfo> known = member.apply(instance);
            known.filter(m -> m.incarnation().compareTo(reported.incarnation) > 0)
                    .ifPresent(m -> {
                        reset(instance, reported, m.incarnation());
                        listener.accept(instance, List.of());
                    });
            boolean responsive = known.map(m -> m.status() == Status.LIVE || m.status() == Status.LEAVING)
                    .orElse(true);
            if (responsive != reported.counted) {
                reported.counted = responsive;
                listener.accept(instance, reported.counted());
            }
        });
    }

    /** Removes the reports of an instance that is gone. */
    synchronized void forget(InstanceId instance) {
        ReportedLoads reported = instances.remove(instance);
        if (reported != null) {
            reset(instance, reported, reported.incarnation);
        }
    }

    /** Returns whether there are changes that have not been sent on a link yet. */
    boolean hasChanges(long since, int link) {
        return table.hasChanges(since, link);
    }

    /** Returns up to {@code maxLoads} changes that have not been sent on a link yet, grouped by run. */
    synchronized ReplicatedTable.Batch<InstanceLoads> changes(long since, int link, int maxLoads) {
        ReplicatedTable.Batch<RunLoad> batch = table.changes(since, link, maxLoads);
        Map<Run, InstanceLoads> byRun = new LinkedHashMap<>();
        batch.values()
                .forEach(runLoad -> byRun.computeIfAbsent(
                                runLoad.run(),
                                run -> new InstanceLoads(
                                        run.instance().value(),
                                        run.incarnation().value(),
                                        new ArrayList<>()))
                        .addToLoads(runLoad.load()));
        return new ReplicatedTable.Batch<>(List.copyOf(byRun.values()), batch.serial(), batch.complete());
    }
}
