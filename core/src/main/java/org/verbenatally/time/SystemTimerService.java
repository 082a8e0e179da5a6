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

/** The timer service of a process. One daemon thread runs all callbacks in the order in which they are due. */
public final class SystemTimerService implements TimerService {
    private static final Logger LOG = Logger.getLogger(SystemTimerService.class);

    /** Time between two looks at the clocks. */
    static final Duration PAUSE_CHECK = Duration.ofMillis(100);

    /** Lost time from which on a pause is announced; garbage collections of a small heap stay far below. */
    static final Duration PAUSE_THRESHOLD = Duration.ofSeconds(1);

    private final LongSupplier nanoClock;
    private final LongSupplier wallClock;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final PriorityQueue<Entry> queue =
            new PriorityQueue<>(Comparator.<Entry>comparingLong(e -> e.due).thenComparingLong(e -> e.serial));
    private final List<Consumer<Duration>> pauseListeners = new CopyOnWriteArrayList<>();
    private final AtomicLong pauses = new AtomicLong();
    private final Thread thread;
    private long serial;
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
    public Subscription every(Duration period, Consumer<Tick> task) {
        if (!period.isPositive()) {
            throw new IllegalArgumentException("period must be positive: " + period);
        }
        return add(period, period.toNanos(), late -> task.accept(new Tick(nanos(), Duration.ofNanos(late))));
    }

    @Override
    public Subscription after(Duration delay, Runnable task) {
        return add(delay, 0, late -> task.run());
    }

    @Override
    public Subscription onPause(Consumer<Duration> listener) {
        pauseListeners.add(listener);
        return () -> pauseListeners.remove(listener);
    }

    /** {@inheritDoc} Counts a pause from the moment of the resume, even if the service's thread has not run yet. */
    @Override
    public long pauseGeneration() {
        long passed = TimeUnit.NANOSECONDS.toMillis(nanos() - lastNanos);
        boolean unannounced = passed - PAUSE_CHECK.toMillis() > PAUSE_THRESHOLD.toMillis();
        return pauses.get() + (unannounced ? 1 : 0);
    }

    @Override
    public void close() {
        closed = true;
        lock.lock();
        try {
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    private Subscription add(Duration delay, long period, LongConsumer task) {
        lock.lock();
        try {
            Entry entry = new Entry(nanos() + Math.max(0, delay.toNanos()), period, serial++, task);
            queue.add(entry);
            if (queue.peek() == entry) {
                changed.signalAll();
            }
            return () -> cancel(entry);
        } finally {
            lock.unlock();
        }
    }

    private void cancel(Entry entry) {
        entry.cancelled = true;
        lock.lock();
        try {
            queue.remove(entry);
        } finally {
            lock.unlock();
        }
    }

    private void run() {
        while (!closed) {
            Entry due = awaitDue();
            // Checked before each callback, so that no overdue one runs before the pause is announced.
            checkClocks();
            if (due != null && !due.cancelled) {
                long now = nanos();
                call(() -> due.task.accept(Math.max(0, now - due.due)));
                reschedule(due);
            }
        }
    }

    /** Waits for the next callback, at most one pause check period; returns {@code null} if none is due. */
    private Entry awaitDue() {
        lock.lock();
        try {
            long now = nanos();
            Entry next = queue.peek();
            long wait = PAUSE_CHECK.toNanos();
            if (next != null) {
                wait = Math.min(wait, next.due - now);
            }
            if (wait > 0 && !closed) {
                changed.awaitNanos(wait);
            }
            next = queue.peek();
            return next != null && next.due - nanos() <= 0 ? queue.poll() : null;
        } catch (InterruptedException e) {
            closed = true;
            return null;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Compares both clocks with the last check. The monotonic clock shows a stopped process; the wall clock also shows
     * a suspended machine, whose monotonic clock stands still.
     */
    private void checkClocks() {
        long now = nanos();
        long wall = epochMillis();
        long passed = TimeUnit.NANOSECONDS.toMillis(now - lastNanos);
        long lost = Math.max(passed, wall - lastWall) - PAUSE_CHECK.toMillis();
        boolean paused = lost > PAUSE_THRESHOLD.toMillis();
        if (paused) {
            pauses.incrementAndGet();
        }
        lastNanos = now;
        lastWall = wall;
        if (paused) {
            Duration duration = Duration.ofMillis(lost);
            LOG.warnf("time: process was paused for %d ms", lost);
            pauseListeners.forEach(l -> call(() -> l.accept(duration)));
        }
    }

    private void reschedule(Entry entry) {
        if (entry.period == 0 || entry.cancelled) {
            return;
        }
        long now = nanos();
        // Missed periods are skipped; a burst of overdue ticks after a pause would serve nobody.
        long next = entry.due + entry.period;
        entry.due = next - now > 0 ? next : now + entry.period;
        lock.lock();
        try {
            if (!entry.cancelled) {
                queue.add(entry);
            }
        } finally {
            lock.unlock();
        }
    }

    private static void call(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("time: callback failed", e);
        }
    }

    private static final class Entry {
        private long due;
        private final long period;
        private final long serial;
        private final LongConsumer task;
        private volatile boolean cancelled;

        Entry(long due, long period, long serial, LongConsumer task) {
            this.due = due;
            this.period = period;
            this.serial = serial;
            this.task = task;
        }
    }
}
