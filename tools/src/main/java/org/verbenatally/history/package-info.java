/**
 * Histories of test runs against real processes, and a checker that verifies the invariants on them.
 *
 * <p>A history is a list of {@link org.verbenatally.history.HistoryRecord}s: what callers sent and received, what
 * targets ran, which configuration version each instance reported, and which faults were injected. All times are wall
 * clock milliseconds of one machine. {@link org.verbenatally.history.HistoryChecker} applies one rule per invariant.
 */
package org.verbenatally.history;
