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

import org.verbenatally.core.Incarnation;
import org.verbenatally.core.InstanceId;
import org.verbenatally.core.TargetId;
import org.verbenatally.peer.MemberInfo.Status;
import org.verbenatally.peer.MemberRow.Run;
import org.verbenatally.time.TimerService;
import org.verbenatally.wire.InstanceLoads;
import org.verbenatally.wire.TargetLoad;

/**
 * What all instances have in flight on each target, as each states it. Statements are passed on, so that an instance
 * knows the load of the whole fleet and not only that of its neighbours. What a silent instance said is not counted
 * until it is heard of again. Safe for use by several threads.
 */
final class LoadTable {
    /** A target without requests is stated for this long, so that all instances hear of the end of its load. */
    private static final long ENDED_MEMORY_NANOS = TimeUnit.MINUTES.toNanos(1);

    /** A change of the tokens alone is stated from this many on: a growing generation is not news all the time. */
    private static final long LEAST_TOKENS_CHANGE = 1_024;

    private record Key(InstanceId instance, String target) {
        // Written out for the same reason as in InstanceId.
        @Override
        public boolean equals(Object other) {
            return other instanceof Key that && target.equals(that.target) && instance.equals(that.instance);
        }

        @Override
        public int hashCode() {
            return instance.hashCode() * 31 + target.hashCode();
        }
    }

    private record Row(Run run, TargetLoad load) {
        static boolean same(Row a, Row b) {
            return a.run.equals(b.run) && a.load.equals(b.load);
        }
    }

    /** What one instance has stated. */
    private static final class Stated {
        private final Map<String, TargetLoad> loads = new HashMap<>();
        private final Map<String, Long> ended = new HashMap<>();
        private Incarnation incarnation;
        private boolean counted = true;

        Stated(Incarnation incarnation) {
            this.incarnation = incarnation;
        }

        void take(TargetLoad load, long now) {
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
    private final TimerService timer;
    private final NewestRows<Key, Row> rows = new NewestRows<>(
            Comparator.<Row, Incarnation>comparing(row -> row.run().incarnation())
                    .thenComparingLong(row -> row.load().getNumber()),
            Row::same);
    private final Map<InstanceId, Stated> instances = new HashMap<>();
    private long number;

    LoadTable(Run self, TimerService timer) {
        this.self = Objects.requireNonNull(self, "self");
        this.timer = Objects.requireNonNull(timer, "timer");
        instances.put(self.instance(), new Stated(self.incarnation()));
    }

    private static boolean isEmpty(TargetLoad load) {
        return load.getRequests() == 0
                && load.getTokens() == 0
                && load.getUnreadTokens() == 0
                && load.getFailures() == 0;
    }

    /** States what this instance has in flight, which replaces what it stated before. */
    synchronized void state(List<TargetLoad> loads) {
        Stated own = instances.get(self.instance());
        Map<String, TargetLoad> next = new HashMap<>();
        loads.forEach(load -> next.put(load.getTarget(), load));
        for (String target : Set.copyOf(own.loads.keySet())) {
            next.putIfAbsent(target, new TargetLoad(target, 0, 0));
        }
        next.values().forEach(load -> {
            TargetLoad before = own.loads.get(load.getTarget());
            boolean same = before != null
                    && before.getRequests() == load.getRequests()
                    && Math.abs(before.getTokens() - load.getTokens()) < LEAST_TOKENS_CHANGE
                    && before.getUnreadTokens() == load.getUnreadTokens()
                    && before.getFailures() == load.getFailures();
            if (!same) {
                state(own, load);
            }
        });
    }

    private void state(Stated own, TargetLoad load) {
        TargetLoad numbered = new TargetLoad(load).setNumber(++number);
        own.take(numbered, timer.nanos());
        rows.put(new Key(self.instance(), load.getTarget()), new Row(self, numbered), NewestRows.LOCAL);
    }

    /**
     * Takes statements that a peer passed on.
     *
     * @param via the link that they came by
     * @param changed told of each instance whose load changed, with all of its load
     * @return whether there was anything new
     * @throws IllegalArgumentException if a field is not valid; nothing is taken then
     */
    synchronized boolean receive(
            List<InstanceLoads> statements, int via, BiConsumer<InstanceId, List<TargetLoad>> changed) {
        List<Row> received = new ArrayList<>();
        for (InstanceLoads statement : statements) {
            Run run = new Run(new InstanceId(statement.getInstance()), new Incarnation(statement.getIncarnation()));
            statement.getLoads().forEach(load -> received.add(new Row(run, checked(load))));
        }
        Set<InstanceId> news = new HashSet<>();
        received.stream()
                .filter(row -> take(row, via))
                .forEach(row -> news.add(row.run().instance()));
        for (InstanceId instance : news) {
            Stated stated = instances.get(instance);
            if (stated.counted && !instance.equals(self.instance())) {
                changed.accept(instance, stated.counted());
            }
        }
        return !news.isEmpty();
    }

    private static TargetLoad checked(TargetLoad load) {
        new TargetId(load.getTarget());
        if (load.getRequests() < 0 || load.getTokens() < 0 || load.getUnreadTokens() < 0 || load.getNumber() < 0) {
            throw new IllegalArgumentException("load of " + load.getTarget() + " must not be negative: " + load);
        }
        if (load.getFailures() < 0 || load.getAnswers() < load.getFailures()) {
            throw new IllegalArgumentException(
                    "failures of " + load.getTarget() + " must be 0 to the number of answers: " + load);
        }
        return load;
    }

    private boolean take(Row row, int via) {
        InstanceId instance = row.run().instance();
        if (instance.equals(self.instance())) {
            return correct(row);
        }
        Stated stated =
                instances.computeIfAbsent(instance, i -> new Stated(row.run().incarnation()));
        int order = row.run().incarnation().compareTo(stated.incarnation);
        if (order < 0) {
            return false;
        }
        if (order > 0) {
            startAnew(instance, stated, row.run().incarnation());
        }
        boolean isNew = rows.put(new Key(instance, row.load().getTarget()), row, via);
        if (isNew) {
            stated.take(row.load(), timer.nanos());
        }
        return isNew;
    }

    /** States again what a peer, cut off for long, has wrong about this run. */
    private boolean correct(Row row) {
        Stated own = instances.get(self.instance());
        String target = row.load().getTarget();
        boolean known = rows.get(new Key(self.instance(), target))
                .filter(mine -> mine.load().getNumber() >= row.load().getNumber())
                .isPresent();
        if (known || !row.run().equals(self)) {
            return false;
        }
        number = Math.max(number, row.load().getNumber());
        state(own, own.loads.getOrDefault(target, new TargetLoad(target, 0, 0)));
        return true;
    }

    private void startAnew(InstanceId instance, Stated stated, Incarnation incarnation) {
        stated.loads.keySet().forEach(target -> rows.remove(new Key(instance, target)));
        stated.ended.keySet().forEach(target -> rows.remove(new Key(instance, target)));
        stated.loads.clear();
        stated.ended.clear();
        stated.incarnation = incarnation;
    }

    /**
     * Counts the load of those instances only that are heard of, and forgets what is long past.
     *
     * @param member returns what is known of an instance
     * @param changed told of each instance whose load is counted from now on, or no longer
     */
    synchronized void tick(
            Function<InstanceId, Optional<MemberInfo>> member, BiConsumer<InstanceId, List<TargetLoad>> changed) {
        long now = timer.nanos();
        instances.forEach((instance, stated) -> {
            stated.ended.entrySet().removeIf(ended -> {
                boolean old = now - ended.getValue() > ENDED_MEMORY_NANOS;
                if (old) {
                    rows.remove(new Key(instance, ended.getKey()));
                }
                return old;
            });
            if (instance.equals(self.instance())) {
                return;
            }
            Optional<MemberInfo> known = member.apply(instance);
            known.filter(m -> m.incarnation().compareTo(stated.incarnation) > 0).ifPresent(m -> {
                startAnew(instance, stated, m.incarnation());
                changed.accept(instance, List.of());
            });
            boolean heard = known.map(m -> m.status() == Status.LIVE || m.status() == Status.LEAVING)
                    .orElse(true);
            if (heard != stated.counted) {
                stated.counted = heard;
                changed.accept(instance, stated.counted());
            }
        });
    }

    /** Forgets an instance that has gone. */
    synchronized void forget(InstanceId instance) {
        Stated stated = instances.remove(instance);
        if (stated != null) {
            startAnew(instance, stated, stated.incarnation);
        }
    }

    /** Returns whether a link has not been sent all that it lacks. */
    boolean hasChanges(long since, int link) {
        return rows.hasChanges(since, link);
    }

    /** Returns what a link has not been sent yet, by instance. */
    synchronized NewestRows.Batch<InstanceLoads> changes(long since, int link, int most) {
        NewestRows.Batch<Row> batch = rows.changes(since, link, most);
        Map<Run, InstanceLoads> byRun = new LinkedHashMap<>();
        batch.values()
                .forEach(row -> byRun.computeIfAbsent(
                                row.run(),
                                run -> new InstanceLoads(
                                        run.instance().value(),
                                        run.incarnation().value(),
                                        new ArrayList<>()))
                        .addToLoads(row.load()));
        return new NewestRows.Batch<>(List.copyOf(byRun.values()), batch.serial(), batch.complete());
    }
}
