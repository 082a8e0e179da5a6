package org.verbenatally.core;

import java.util.concurrent.TimeUnit;
import java.util.logging.Filter;
import java.util.logging.Level;
import java.util.logging.LogRecord;

import org.jboss.logging.Logger;

/** Bounds the log lines of each second; lines of level WARN and above pass. Tells how many were left out. */
final class LineLimit implements Filter {
    private static final Logger LOG = Logger.getLogger(LineLimit.class);

    private final int linesPerSecond;
    private long second;
    private int lines;
    private int leftOut;

    LineLimit(int linesPerSecond) {
        this.linesPerSecond = linesPerSecond;
    }

    @Override
    public boolean isLoggable(LogRecord line) {
        if (line.getLevel().intValue() >= Level.WARNING.intValue()) {
            return true;
        }
        int missed = 0;
        boolean passes;
        synchronized (this) {
            long now = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
            if (now != second) {
                second = now;
                lines = 0;
                missed = leftOut;
                leftOut = 0;
            }
            passes = lines < linesPerSecond;
            if (passes) {
                lines++;
            } else {
                leftOut++;
            }
        }
        if (missed > 0) {
            LogEvent.of("log.leftOut").with("lines", missed).warn(LOG);
        }
        return passes;
    }
}
