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
 * Mixed work of a deployment, sent at a steady rate to all entries. The order of kinds, organisations and lengths
 * depends on the seed only.
 */
final class Workload {
    private static final double MEDIAN_TOKENS = 60;
    private static final double SPREAD = 0.8;
    private static final int MAX_TOKENS = 400;

    private final Cluster cluster;
    private final Caller caller;
    private final UniformRandomProvider random;
    private final List<Kind> kinds;
    private final List<Organisation> organisations;
    private final Phaser open = new Phaser(1);
    private final AtomicInteger finished = new AtomicInteger();
    private final AtomicInteger started = new AtomicInteger();
    private volatile boolean stopped;

    Workload(Cluster cluster, long seed, int patienceMs) {
        this.cluster = cluster;
        caller = new Caller(cluster, patienceMs);
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        kinds = cluster.deployment().kinds().values().stream()
                .sorted(Comparator.comparing(kind -> kind.name().toString()))
                .toList();
        organisations = cluster.deployment().organisations().values().stream()
                .sorted(Comparator.comparing(each -> each.id().toString()))
                .toList();
    }

    /** Sends a number of requests and returns when all have ended. */
    void run(int requests, double perSecond) {
        long start = System.nanoTime();
        for (int i = 0; i < requests && !stopped; i++) {
            Cluster.sleep(Math.max(0, (long) (i * 1e3 / perSecond) - (System.nanoTime() - start) / 1_000_000));
            sendOne();
        }
        open.arriveAndAwaitAdvance();
    }

    /** Sends at a steady rate in the background until {@link #stop}. */
    Workload start(double perSecond) {
        Thread.ofVirtual().name("workload").start(() -> run(Integer.MAX_VALUE, perSecond));
        return this;
    }

    /** Ends the sending and waits for the answers that are still open. */
    void stop() {
        stopped = true;
        long end = System.nanoTime() + 60_000_000_000L;
        while (finished.get() < started.get() && System.nanoTime() - end < 0) {
            Cluster.sleep(20);
        }
    }

    int finished() {
        return finished.get();
    }

    private void sendOne() {
        Work work = next();
        int entry = balanced(random.nextInt(cluster.size()));
        int serial = started.incrementAndGet();
        open.register();
        Thread.ofVirtual().name("caller-" + serial).start(() -> {
            try {
                caller.send(work.kind().repeatable() ? work : caller.withKey(work, entry), entry);
            } catch (RuntimeException e) {
                // No key was issued, so nothing was sent; the caller tries again later.
            } finally {
                finished.incrementAndGet();
                open.arriveAndDeregister();
            }
        });
    }

    private int balanced(int wanted) {
        for (int i = 0; i < cluster.size(); i++) {
            int entry = (wanted + i) % cluster.size();
            if (cluster.isBalancedTo(entry)) {
                return entry;
            }
        }
        return wanted;
    }

    /** Returns the next piece of work; each organisation sends according to its share. */
    Work next() {
        Kind kind = kinds.get(random.nextInt(kinds.size()));
        double length = MEDIAN_TOKENS * Math.exp(SPREAD * gaussian());
        int tokens = Math.max(1, Math.min(MAX_TOKENS, (int) length));
        return new Work(
                "w" + Long.toHexString(random.nextLong()),
                kind,
                organisation().id().toString(),
                null,
                tokens,
                "");
    }

    private double gaussian() {
        return Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
    }

    private Organisation organisation() {
        List<Double> upTo = new ArrayList<>();
        double sum = 0;
        for (Organisation each : organisations) {
            sum += each.share();
            upTo.add(sum);
        }
        double at = random.nextDouble() * sum;
        for (int i = 0; i < upTo.size(); i++) {
            if (at < upTo.get(i)) {
                return organisations.get(i);
            }
        }
        return organisations.getLast();
    }
}
