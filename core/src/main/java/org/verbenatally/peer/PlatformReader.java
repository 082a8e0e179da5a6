package org.verbenatally.peer;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jboss.logging.Logger;
import org.verbenatally.core.InstanceId;

/** Reads the configuration and the instance list from the platform, each in a task of its own. */
final class PlatformReader {
    private static final Logger LOG = Logger.getLogger(PlatformReader.class);

    /**
     * Number of instances per region that long-poll the configuration; three, so that one remains if two fail at once.
     */
    private static final int READERS_PER_REGION = 3;

    /** Reads of the instance list by the whole fleet, per second; 2.5% of the platform's capacity. */
    private static final int LIST_READS_PER_SECOND = 50;

    private static final Duration LIST_PERIOD = Duration.ofSeconds(2);

    private final InstanceId self;
    private final PeerTimings timings;
    private final PlatformClient client;
    private final ConfigPropagator<?> propagator;
    private final Membership membership;
    private final UniformRandomProvider random;
    private final List<Consumer<List<PlatformInstance>>> listeners = new CopyOnWriteArrayList<>();
    private final AtomicLong reads = new AtomicLong();
    private volatile boolean closed;
    private volatile Thread configTask;
    private volatile Thread listTask;

    PlatformReader(PeerOptions options, PlatformClient client, ConfigPropagator<?> propagator, Membership membership) {
        self = options.instance();
        timings = options.timings();
        this.client = client;
        this.propagator = propagator;
        this.membership = membership;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(
                options.seed() + options.instance().hashCode());
    }

    void addListener(Consumer<List<PlatformInstance>> listener) {
        listeners.add(listener);
    }

    long reads() {
        return reads.get();
    }

    void start() {
        configTask = Thread.ofVirtual().name("config-" + self).start(this::readConfigRepeatedly);
        listTask = Thread.ofVirtual().name("instances-" + self).start(this::readInstancesRepeatedly);
    }

    boolean isReader() {
        return Rendezvous.choose("config-reader", membership.liveInRegion(), READERS_PER_REGION)
                .contains(self);
    }

    private void readConfigRepeatedly() {
        try {
            long backoff = timings.gossipPeriod().toNanos();
            while (!closed) {
                if (!isReader()) {
                    backoff = timings.gossipPeriod().toNanos();
                    awaitNextPoll();
                }
                long before = propagator.version();
                long start = System.nanoTime();
                Duration wait = isReader() ? timings.longPollTimeout() : Duration.ZERO;
                reads.incrementAndGet();
                boolean succeeded = readConfig(wait);
                boolean waited = System.nanoTime() - start > wait.toNanos() / 2 && wait.isPositive();
                if (succeeded && (waited || propagator.version() > before)) {
                    backoff = timings.gossipPeriod().toNanos();
                } else if (isReader()) {
                    // The platform is down, or responds at once with an old or invalid document: back off.
                    pause(backoff);
                    backoff = Math.min(backoff * 2, timings.longPollTimeout().toNanos() / 3);
                }
            }
        } catch (InterruptedException e) {
            LOG.debug("config: reading task ends");
        }
    }

    /** Reads the configuration; an unexpected exception, such as one of a listener, must not end the task. */
    private boolean readConfig(Duration wait) throws InterruptedException {
        try {
            return propagator.read(client, wait);
        } catch (RuntimeException e) {
            LOG.errorf(e, "config: reading failed, will be retried");
            return false;
        }
    }

    /** Waits for a poll period with jitter, or until this instance becomes a reader. */
    private void awaitNextPoll() throws InterruptedException {
        double jitter = 0.5 + random.nextDouble();
        long until = System.nanoTime() + (long) (timings.pollPeriod().toNanos() * jitter);
        while (System.nanoTime() - until < 0 && !isReader()) {
            TimeUnit.NANOSECONDS.sleep(timings.gossipPeriod().multipliedBy(2).toNanos());
        }
    }

    private void pause(long nanos) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep((long) (nanos * (0.5 + random.nextDouble())));
    }

    private void readInstancesRepeatedly() {
        try {
            while (!closed) {
                readInstancesOnce();
                long periodNanos = TimeUnit.SECONDS.toNanos(membership.members().size()) / LIST_READS_PER_SECOND;
                pause(Math.max(LIST_PERIOD.toNanos(), periodNanos));
            }
        } catch (InterruptedException e) {
            LOG.debug("peer: instance list task ends");
        }
    }

    /** Reads the configuration once, without a long poll. */
    void readConfigOnce() throws InterruptedException {
        reads.incrementAndGet();
        readConfig(Duration.ZERO);
    }

    /** Reads the instance list once; after a failure the next read tries again. */
    void readInstancesOnce() throws InterruptedException {
        try {
            reads.incrementAndGet();
            List<PlatformInstance> list = client.instances().get();
            listeners.forEach(l -> notify(l, list));
        } catch (ExecutionException e) {
            LOG.debugf(
                    "peer: reading the instance list failed: %s", e.getCause().getMessage());
        }
    }

    /** Passes a list on; an exception must not end the task that reads the lists. */
    private static void notify(Consumer<List<PlatformInstance>> listener, List<PlatformInstance> list) {
        try {
            listener.accept(list);
        } catch (RuntimeException e) {
            LOG.errorf(e, "peer: the instance list could not be applied");
        }
    }

    void close() {
        closed = true;
        if (configTask != null) {
            configTask.interrupt();
            listTask.interrupt();
        }
        client.close();
    }
}
