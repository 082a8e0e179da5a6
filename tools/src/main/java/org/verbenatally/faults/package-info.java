/**
 * The demo and the fault table, which run the system's real processes against stand-ins. {@link
 * org.verbenatally.faults.Cluster} starts and stops the processes, {@link org.verbenatally.faults.Caller} sends
 * requests and records what callers receive, and {@link org.verbenatally.history.HistoryChecker} checks the history of
 * each case of {@link org.verbenatally.faults.FaultsMain}.
 */
package org.verbenatally.faults;
