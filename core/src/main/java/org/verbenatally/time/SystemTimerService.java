package org.verbenatally.time;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

import org.jboss.logging.Logger;

/** Timer service on the system clocks. One daemon thread runs all callbacks in the order in which they are due. */
public final class SystemTimerService implements TimerService {
    private static final Logger LOG = Logger.getLogger(SystemTimerService.class);

    /** Maximum time between two comparisons of the clocks. */
    static final Duration PAUSE_CHECK_INTERVAL = Duration.ofMillis(100);

    /** Lost time above which a pause is reported; garbage collections of a small heap stay far below it. */
    static final Duration PAUSE_THRESHOLD = Duration.ofSeconds(1);

    private final LongSupplier nanoClock;
    private final LongSupplier wallClock;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition queueChanged = lock.newCondition();
    private final PriorityQueue<ScheduledTask> queue = new PriorityQueue<>(
            Comparator.<ScheduledTask>comparingLong(t -> t.dueNanos).thenComparingLong(t -> t.sequence));
    private final List<Consumer<Duration>> pauseListeners = new CopyOnWriteArrayList<>();
    private final AtomicLong pauseCount = new AtomicLong();
    private final Thread thread;
    private long sequence;
    private volatile boolean closed;
    private volatile long lastNanos;
    private long lastWall;

    /** Starts a service on the clocks of the system. */
    public SystemTimerService() {
        this(System::nanoTime, System::currentTimeMillis);
    }

    SystemTimerService(LongSupplier nanoClock, LongSupplier wallClock) {
        this.nanoClock = nanoClock;
        this.wallClock = wallClock;
        lastNanos = nanoClock.getAsLong();
        lastWall = wallClock.getAsLong();
        thread = Thread.ofPlatform().daemon().name("timer").start(this::run);
    }

    @Override
    public long nanos() {
        return nanoClock.getAsLong();
    }

    @Override
    public long epochMillis() {
        return wallClock.getAsLong();
    }

    @Override
    public Subscription every(Duration period, Consumer<Tick> callback) {
        if (!period.isPositive()) {
            throw new IllegalArgumentException("period must be positive: " + period);
        }
        return add(
                period, period.toNanos(), lateness -> callback.accept(new Tick(nanos(), Duration.ofNanos(lateness))));
    }

    @Override
    public Subscription after(Duration delay, Runnable callback) {
        return add(delay, 0, lateness -> callback.run());
    }

    @Override
    public Subscription onPause(Consumer<Duration> listener) {
        pauseListeners.add(listener);
        return () -> pauseListeners.remove(listener);
    }

    /** {@inheritDoc} A pause counts as soon as the process resumes, even if the service's thread has not run yet. */
    @Override
    public long pauseGeneration() {
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(nanos() - lastNanos);
        boolean unreported = elapsedMillis - PAUSE_CHECK_INTERVAL.toMillis() > PAUSE_THRESHOLD.toMillis();
        return pauseCount.get() + (unreported ? 1 : 0);
    }

    @Override
    public void close() {
        closed = true;
        lock.lock();
        try {
            queueChanged.signalAll();
        } finally {
            lock.unlock();
        }
    }

    private Subscription add(Duration delay, long periodNanos, LongConsumer callback) {
        lock.lock();
        try {
            ScheduledTask task =
                    new ScheduledTask(nanos() + Math.max(0, delay.toNanos()), periodNanos, sequence++, callback);
            queue.add(task);
            if (queue.peek() == task) {
                queueChanged.signalAll();
            }
            return () -> cancel(task);
        } finally {
            lock.unlock();
        }
    }

    private void cancel(ScheduledTask task) {
        task.cancelled = true;
        lock.lock();
        try {
            queue.remove(task);
        } finally {
            lock.unlock();
        }
    }

    private void run() {
        while (!closed) {
            ScheduledTask next = awaitDueTask();
            // Checked before each callback, so that a pause is reported before any overdue callback runs.
            checkClocks();
            if (next != null && !next.cancelled) {
                long now = nanos();
                call(() -> next.callback.accept(Math.max(0, now - next.dueNanos)));
                reschedule(next);
            }
        }
    }

    /** Waits for the next task, at most one pause check interval; returns {@code null} if none is due. */
    private ScheduledTask awaitDueTask() {
        lock.lock();
        try {
            long now = nanos();
            ScheduledTask next = queue.peek();
            long wait = PAUSE_CHECK_INTERVAL.toNanos();
            if (next != null) {
                wait = Math.min(wait, next.dueNanos - now);
            }
            if (wait > 0 && !closed) {
                queueChanged.awaitNanos(wait);
            }
            next = queue.peek();
            return next != null && next.dueNanos - nanos() <= 0 ? queue.poll() : null;
        } catch (InterruptedException e) {
            closed = true;
            return null;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Compares both clocks with their values at the last check. The monotonic clock reveals a stopped process; the wall
     * clock also reveals a suspended machine, on which the monotonic clock does not advance.
     */
    private void checkClocks() {
        long now = nanos();
        long wall = epochMillis();
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(now - lastNanos);
        long lostMillis = Math.max(elapsedMillis, wall - lastWall) - PAUSE_CHECK_INTERVAL.toMillis();
        boolean paused = lostMillis > PAUSE_THRESHOLD.toMillis();
        if (paused) {
            pauseCount.incrementAndGet();
        }
        lastNanos = now;
        lastWall = wall;
        if (paused) {
            Duration duration = Duration.ofMillis(lostMillis);
            LOG.warnf("time: process was paused for %d ms", lostMillis);
            pauseListeners.forEach(l -> call(() -> l.accept(duration)));
        }
    }

    private void reschedule(ScheduledTask task) {
        if (task.periodNanos == 0 || task.cancelled) {
            return;
        }
        long now = nanos();
        // Skips missed periods: a burst of overdue ticks after a pause would be of no use.
        long next = task.dueNanos + task.periodNanos;
        task.dueNanos = next - now > 0 ? next : now + task.periodNanos;
        lock.lock();
        try {
            if (!task.cancelled) {
                queue.add(task);
            }
        } finally {
            lock.unlock();
        }
    }

    private static void call(Runnable callback) {
        try {
            callback.run();
        } catch (RuntimeException e) {
            LOG.error("time: callback failed", e);
        }
    }

    private static final class ScheduledTask {
        private long dueNanos;
        private final long periodNanos;
        private final long sequence;
        private final LongConsumer callback;
        private volatile boolean cancelled;

        ScheduledTask(long dueNanos, long periodNanos, long sequence, LongConsumer callback) {
            this.dueNanos = dueNanos;
            this.periodNanos = periodNanos;
            this.sequence = sequence;
            this.callback = callback;
        }
    }
}
