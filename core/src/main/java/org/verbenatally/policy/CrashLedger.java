package org.verbenatally.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.IntSupplier;

import org.verbenatally.core.TargetId;
import org.verbenatally.core.Trait;
import org.verbenatally.time.TimerService;

/**
 * Finds the traits that make requests crash their targets. Each crash casts suspicion on the traits of all requests
 * that its target had not clearly begun to serve; a trait is cleared of all crashes before the start of a request that
 * was served. The fewest traits that explain enough incidents each are quarantined.
 *
 * <p>Traits that occurred in just the same incidents cannot be told apart, so only requests with all of them are
 * refused; a request with some of them shows which one it is. A quarantined trait that was served before is tried again
 * from time to time.
 *
 * <p>Instances that know the same crashes and served requests come to the same result, in whatever order they learn of
 * them. At most 256 crashes and 4,096 served traits are remembered, each for 15 minutes. Safe for use by several
 * threads.
 */
public final class CrashLedger {
    /** Number of incidents that a trait must explain if no request with it is known to have been served. */
    private static final int INCIDENTS_IF_NEVER_SERVED = 3;

    /**
     * Number of incidents that a trait must explain if it was served before. Such a trait is likely to be in many
     * requests, and so in some that run when targets die for other reasons.
     */
    private static final int INCIDENTS_IF_SERVED_BEFORE = 5;

    private static final int MAX_CRASHES = 256;
    private static final int MAX_SERVED = 4_096;
    private static final Duration LIFETIME = Duration.ofMinutes(15);

    /** Crashes within this time of each other count as one incident: a loss of power takes many targets at once. */
    private static final Duration INCIDENT_WINDOW = Duration.ofMillis(100);

    /** Reports of several instances on the crash of one target arrive within this time. */
    private static final Duration REPORT_WINDOW = Duration.ofSeconds(3);

    /** Time from the last crash to the first trial of a trait that was served before; doubles with each failure. */
    private static final Duration FIRST_TRIAL = Duration.ofSeconds(10);

    /** Average interval between the trials of two instances; the result of a trial is known within this time. */
    private static final Duration TRIAL_SPACING = Duration.ofSeconds(2);

    private static final int MAX_DOUBLINGS = 6;

    private static final Duration MAX_CULPRITS_AGE = Duration.ofSeconds(1);

    private static final class Crash {
        final TargetId target;
        final long run;
        long nanos;
        final Set<Trait> traits = new HashSet<>();

        Crash(TargetId target, long run, long nanos) {
            this.target = target;
            this.run = run;
            this.nanos = nanos;
        }
    }

    /**
     * Crashes at about the same time.
     *
     * @param lastNanos time of the last one
     * @param traits all traits that are suspected of them
     */
    private record Incident(long lastNanos, Set<Trait> traits) {}

    /**
     * The last request that was served with a trait.
     *
     * @param nanos when its target began to serve it
     * @param shared whether the other instances know that the trait was served at some time
     */
    private record Served(long nanos, boolean shared) {}

    /**
     * Quarantined traits that cannot be told apart.
     *
     * @param traits requests with all of these are refused
     * @param incidents number of incidents that they explain
     * @param lastNanos time of the last of them
     * @param servedBefore whether requests with these traits are known to have been served
     */
    private record Culprit(Set<Trait> traits, int incidents, long lastNanos, boolean servedBefore) {}

    private final TimerService timer;
    private final IntSupplier members;
    /** In the order in which they became known. */
    private final List<Crash> crashes = new ArrayList<>();
    /** The trait served last comes last. */
    private final Map<Trait, Served> served = new LinkedHashMap<>();

    private final Map<Set<Trait>, Long> nextTrials = new HashMap<>();
    private List<Culprit> culprits = List.of();
    private long culpritsNanos;
    private boolean changed;

    /**
     * Creates an empty ledger.
     *
     * @param timer the clock
     * @param members number of instances that try quarantined traits again
     */
    public CrashLedger(TimerService timer, IntSupplier members) {
        this.timer = Objects.requireNonNull(timer, "timer");
        this.members = Objects.requireNonNull(members, "members");
    }

    /**
     * Records the crash of a target. Further reports on the same crash add their traits to it.
     *
     * @param target the target that crashed
     * @param run identifies this run of the target among its others
     * @param traits traits of the requests that it had not clearly begun to serve
     * @param age time since the crash
     */
    public synchronized void addCrash(TargetId target, long run, Set<Trait> traits, Duration age) {
        if (traits.isEmpty() || age.compareTo(LIFETIME) >= 0) {
            return;
        }
        long nanos = timer.nanos() - age.toNanos();
        Crash crash = crashes.stream()
                .filter(known -> known.target.equals(target)
                        && known.run == run
                        && Math.abs(known.nanos - nanos) < REPORT_WINDOW.toNanos())
                .findFirst()
                .orElseGet(() -> {
                    Crash added = new Crash(target, run, nanos);
                    crashes.add(added);
                    return added;
                });
        crash.traits.addAll(traits);
        // The earliest report comes closest to the crash itself.
        crash.nanos = crash.nanos - nanos > 0 ? nanos : crash.nanos;
        if (crashes.size() > MAX_CRASHES) {
            crashes.removeFirst();
        }
        changed = true;
    }

    /**
     * Records that a request was served here. Returns those of its traits that are suspected of a crash and were not
     * yet known to have been served since; the other instances need to know.
     *
     * @param traits the traits of the request
     * @param age time since the target began to serve it
     */
    public synchronized Set<Trait> addServed(Set<Trait> traits, Duration age) {
        return addServed(traits, age, false);
    }

    /** Records that a request was served at another instance. */
    public synchronized void addServedElsewhere(Set<Trait> traits, Duration age) {
        if (age.compareTo(LIFETIME) < 0) {
            addServed(traits, age, true);
        }
    }

    private Set<Trait> addServed(Set<Trait> traits, Duration age, boolean elsewhere) {
        long nanos = timer.nanos() - age.toNanos();
        Set<Trait> cleared = new LinkedHashSet<>();
        for (Trait trait : traits) {
            Served before = served.remove(trait);
            boolean clears = isClearedOfCrash(trait, before, nanos);
            boolean shared = elsewhere || clears || before != null && before.shared;
            served.put(trait, new Served(before == null ? nanos : latest(before.nanos, nanos), shared));
            if (clears) {
                cleared.add(trait);
            }
        }
        while (served.size() > MAX_SERVED) {
            served.remove(served.keySet().iterator().next());
        }
        changed |= !cleared.isEmpty();
        return cleared;
    }

    private static long latest(long a, long b) {
        return a - b > 0 ? a : b;
    }

    private boolean isClearedOfCrash(Trait trait, Served before, long nanos) {
        return crashes.stream()
                .anyMatch(crash -> crash.traits.contains(trait)
                        && (before == null || crash.nanos - before.nanos >= 0 && crash.nanos - nanos < 0));
    }

    /**
     * Returns those of some suspected traits that are known here to have been served, but perhaps not to the other
     * instances, with the time since then. From then on they count as known to all.
     */
    public synchronized Map<Trait, Duration> takeUnsharedServed(Set<Trait> suspected) {
        long now = timer.nanos();
        Map<Trait, Duration> unshared = new LinkedHashMap<>();
        for (Trait trait : suspected) {
            Served known = served.get(trait);
            if (known != null && !known.shared) {
                unshared.put(trait, Duration.ofNanos(now - known.nanos));
                served.replace(trait, new Served(known.nanos, true));
            }
        }
        return unshared;
    }

    /** Returns whether requests with a trait are known to have been served. */
    public synchronized boolean isServed(Trait trait) {
        return served.containsKey(trait);
    }

    /** Returns whether a request with these traits would crash its target, as far as is known. */
    public synchronized boolean isQuarantined(Set<Trait> traits) {
        return culprits().stream().anyMatch(culprit -> traits.containsAll(culprit.traits));
    }

    /**
     * Returns whether a request may be sent to a target. One with a quarantined trait may be if the trait is due to be
     * tried again, and the next one then has to wait.
     */
    public synchronized boolean tryAdmit(Set<Trait> traits) {
        for (Culprit culprit : culprits()) {
            if (traits.containsAll(culprit.traits) && !tryAgain(culprit)) {
                return false;
            }
        }
        return true;
    }

    private boolean tryAgain(Culprit culprit) {
        if (!culprit.servedBefore) {
            return false;
        }
        long now = timer.nanos();
        int failures = Math.min(culprit.incidents - INCIDENTS_IF_SERVED_BEFORE, MAX_DOUBLINGS);
        long pause = FIRST_TRIAL.toNanos() << failures;
        long due = nextTrials.computeIfAbsent(culprit.traits, traits -> culprit.lastNanos + pause + ownTurn());
        if (due - culprit.lastNanos < pause) {
            // A trial has failed since.
            due = culprit.lastNanos + pause + ownTurn();
        }
        boolean isDue = now - due >= 0;
        nextTrials.put(culprit.traits, isDue ? now + pause + ownTurn() : due);
        return isDue;
    }

    /** Returns a random delay, so that the instances do not all try a trait at the same time. */
    private long ownTurn() {
        return ThreadLocalRandom.current().nextLong(TRIAL_SPACING.toNanos() * Math.max(1, members.getAsInt()));
    }

    /** Returns the quarantined traits; traits that cannot be told apart share a set. */
    public synchronized List<Set<Trait>> quarantined() {
        return culprits().stream().map(Culprit::traits).toList();
    }

    private List<Culprit> culprits() {
        long now = timer.nanos();
        if (crashes.isEmpty() || !changed && now - culpritsNanos < MAX_CULPRITS_AGE.toNanos()) {
            return culprits;
        }
        crashes.removeIf(crash -> now - crash.nanos > LIFETIME.toNanos());
        served.values().removeIf(known -> now - known.nanos > LIFETIME.toNanos());
        changed = false;
        culpritsNanos = now;
        culprits = findCulprits();
        nextTrials.keySet().retainAll(culprits.stream().map(Culprit::traits).toList());
        return culprits;
    }

    private List<Incident> incidents() {
        List<Incident> incidents = new ArrayList<>();
        long first = 0;
        for (Crash crash : crashes.stream()
                .sorted((a, b) -> Long.signum(a.nanos - b.nanos))
                .toList()) {
            Set<Trait> traits = new HashSet<>(crash.traits);
            if (!incidents.isEmpty() && crash.nanos - first < INCIDENT_WINDOW.toNanos()) {
                traits.addAll(incidents.removeLast().traits);
            } else {
                first = crash.nanos;
            }
            incidents.add(new Incident(crash.nanos, traits));
        }
        return incidents;
    }

    /**
     * Repeatedly takes the traits that explain the most incidents until those left explain too few. A trait of which no
     * request is known to have been served comes first, since such a trait cannot have been harmless before.
     */
    private List<Culprit> findCulprits() {
        List<Incident> unexplained = incidents();
        List<Culprit> found = new ArrayList<>();
        for (boolean servedBefore : new boolean[] {false, true}) {
            Optional<Culprit> next = mostIncidents(unexplained, servedBefore);
            while (next.isPresent()) {
                Culprit culprit = next.get();
                found.add(culprit);
                unexplained.removeIf(incident -> incident.traits.containsAll(culprit.traits));
                next = mostIncidents(unexplained, servedBefore);
            }
        }
        return found;
    }

    private Optional<Culprit> mostIncidents(List<Incident> unexplained, boolean servedBefore) {
        Map<Trait, List<Incident>> byTrait = new HashMap<>();
        for (Incident incident : unexplained) {
            for (Trait trait : incident.traits) {
                Served last = served.get(trait);
                if (last == null ? !servedBefore : servedBefore && incident.lastNanos - last.nanos >= 0) {
                    byTrait.computeIfAbsent(trait, t -> new ArrayList<>()).add(incident);
                }
            }
        }
        int needed = servedBefore ? INCIDENTS_IF_SERVED_BEFORE : INCIDENTS_IF_NEVER_SERVED;
        return byTrait.entrySet().stream()
                .filter(entry -> entry.getValue().size() >= needed)
                .min(Comparator.<Map.Entry<Trait, List<Incident>>>comparingInt(
                                entry -> -entry.getValue().size())
                        .thenComparing(entry -> entry.getKey().value()))
                .map(entry -> {
                    List<Incident> explained = entry.getValue();
                    Set<Trait> alike = new HashSet<>();
                    byTrait.forEach((trait, incidents) -> {
                        if (incidents.equals(explained)) {
                            alike.add(trait);
                        }
                    });
                    return new Culprit(
                            Set.copyOf(alike), explained.size(), explained.getLast().lastNanos, servedBefore);
                });
    }
}
