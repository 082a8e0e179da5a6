package org.verbenatally.faults;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Phaser;
import java.util.concurrent.atomic.AtomicInteger;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.verbenatally.config.Kind;
import org.verbenatally.config.Organisation;

/**
 * Sends work items of all kinds of a deployment to all entries at a constant rate. The sequence of kinds, organisations
 * and lengths depends only on the seed.
 */
final class Workload {
    private static final double MEDIAN_TOKENS = 60;
    private static final double LOG_STANDARD_DEVIATION = 0.8;
    private static final int MAX_TOKENS = 400;

    private final Cluster cluster;
    private final Caller caller;
    private final UniformRandomProvider random;
    private final List<Kind> kinds;
    private final List<Organisation> organisations;
    private final Phaser openRequests = new Phaser(1);
    private final AtomicInteger finishedCount = new AtomicInteger();
    private final AtomicInteger startedCount = new AtomicInteger();
    private volatile boolean stopped;

    Workload(Cluster cluster, long seed, int timeoutMs) {
        this.cluster = cluster;
        caller = new Caller(cluster, timeoutMs);
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        kinds = cluster.deployment().kinds().values().stream()
                .sorted(Comparator.comparing(kind -> kind.name().toString()))
                .toList();
        organisations = cluster.deployment().organisations().values().stream()
                .sorted(Comparator.comparing(each -> each.id().toString()))
                .toList();
    }

    /** Sends the given number of requests, {@code perSecond} each second, and returns when all have ended. */
    void run(int requests, double perSecond) {
        long startNanos = System.nanoTime();
        for (int i = 0; i < requests && !stopped; i++) {
            Cluster.sleep(Math.max(0, (long) (i * 1e3 / perSecond) - (System.nanoTime() - startNanos) / 1_000_000));
            sendNext();
        }
        openRequests.arriveAndAwaitAdvance();
    }

    /** Sends {@code perSecond} requests each second in the background until {@link #stop} is called. */
    Workload start(double perSecond) {
        Thread.ofVirtual().name("workload").start(() -> run(Integer.MAX_VALUE, perSecond));
        return this;
    }

    /** Stops sending and waits for up to 60 s until all open requests have ended. */
    void stop() {
        stopped = true;
        long deadlineNanos = System.nanoTime() + 60_000_000_000L;
        while (finishedCount.get() < startedCount.get() && System.nanoTime() - deadlineNanos < 0) {
            Cluster.sleep(20);
        }
    }

    int finished() {
        return finishedCount.get();
    }

    private void sendNext() {
        WorkItem work = nextWork();
        int entry = entryInRotation(random.nextInt(cluster.size()));
        int serial = startedCount.incrementAndGet();
        openRequests.register();
        Thread.ofVirtual().name("caller-" + serial).start(() -> {
            try {
                caller.send(work.kind().repeatable() ? work : caller.withKey(work, entry), entry);
            } catch (RuntimeException e) {
                // No key was issued, so no request was sent and none is open.
            } finally {
                finishedCount.incrementAndGet();
                openRequests.arriveAndDeregister();
            }
        });
    }

    private int entryInRotation(int preferred) {
        for (int i = 0; i < cluster.size(); i++) {
            int entry = (preferred + i) % cluster.size();
            if (cluster.isInRotation(entry)) {
                return entry;
            }
        }
        return preferred;
    }

    /** Returns the next work item. Organisations are chosen in proportion to their shares. */
    WorkItem nextWork() {
        Kind kind = kinds.get(random.nextInt(kinds.size()));
        double length = MEDIAN_TOKENS * Math.exp(LOG_STANDARD_DEVIATION * gaussian());
        int tokens = Math.max(1, Math.min(MAX_TOKENS, (int) length));
        return new WorkItem(
                "w" + Long.toHexString(random.nextLong()),
                kind,
                randomOrganisation().id().toString(),
                null,
                tokens,
                "");
    }

    private double gaussian() {
        return Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
    }

    private Organisation randomOrganisation() {
        List<Double> cumulativeShares = new ArrayList<>();
        double sum = 0;
        for (Organisation each : organisations) {
            sum += each.share();
            cumulativeShares.add(sum);
        }
        double sample = random.nextDouble() * sum;
        for (int i = 0; i < cumulativeShares.size(); i++) {
            if (sample < cumulativeShares.get(i)) {
                return organisations.get(i);
            }
        }
        return organisations.getLast();
    }
}
