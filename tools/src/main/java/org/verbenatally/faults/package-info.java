/**
 * Runs the system's real processes against stand-ins: the demo and the fault table. {@link
 * org.verbenatally.faults.Cluster} starts and stops the processes, {@link org.verbenatally.faults.Caller} sends work
 * and records what callers see, and each case of {@link org.verbenatally.faults.FaultsMain} is judged by
 * {@link org.verbenatally.history.HistoryChecker}.
 */
package org.verbenatally.faults;
