package org.verbenatally.core;

import java.util.concurrent.TimeUnit;
import java.util.logging.Filter;
import java.util.logging.Level;
import java.util.logging.LogRecord;

import org.jboss.logging.Logger;

/** Limits the log lines per second; lines at level WARN and above always pass. Reports how many lines were dropped. */
final class LogRateLimiter implements Filter {
    private static final Logger LOG = Logger.getLogger(LogRateLimiter.class);

    private final int linesPerSecond;
    private long second;
    private int lines;
    private int dropped;

    LogRateLimiter(int linesPerSecond) {
        this.linesPerSecond = linesPerSecond;
    }

    @Override
    public boolean isLoggable(LogRecord logRecord) {
        if (logRecord.getLevel().intValue() >= Level.WARNING.intValue()) {
            return true;
        }
        int unreported = 0;
        boolean passes;
        synchronized (this) {
            long now = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
            if (now != second) {
                second = now;
                lines = 0;
                unreported = dropped;
                dropped = 0;
            }
            passes = lines < linesPerSecond;
            if (passes) {
                lines++;
            } else {
                dropped++;
            }
        }
        if (unreported > 0) {
            LogEvent.of("log.leftOut").with("lines", unreported).warn(LOG);
        }
        return passes;
    }
}
