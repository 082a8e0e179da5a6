/**
 * Histories of runs against real processes, and the checker that compares them with the invariants.
 *
 * <p>A history is a list of {@link org.verbenatally.history.HistoryRecord}s: what callers sent and saw, what targets
 * ran, which configuration version each instance reported, and which faults were injected when. All times are wall
 * clock milliseconds of one machine. {@link org.verbenatally.history.HistoryChecker} has one rule for each invariant.
 */
package org.verbenatally.history;
