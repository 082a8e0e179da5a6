package org.verbenatally.history;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.verbenatally.core.Outcome;
import org.verbenatally.history.HistoryRecord.Fault;
import org.verbenatally.history.HistoryRecord.Response;
import org.verbenatally.history.HistoryRecord.Sent;
import org.verbenatally.history.HistoryRecord.Stop;
import org.verbenatally.history.HistoryRecord.VersionReported;

/** Rules on the behaviour of entry instances. */
final class InstanceRules {
    private InstanceRules() {}

    /**
     * Reports instances whose configuration in force changed to a lower version, or to a lower digest of the same
     * version.
     */
    static List<String> configMonotonic(History history) {
        List<String> violations = new ArrayList<>();
        history.groupBy(VersionReported.class, VersionReported::instance).forEach((instance, reports) -> {
            VersionReported highest = reports.getFirst();
            for (VersionReported report : reports) {
                boolean lower = report.version() < highest.version()
                        || (report.version() == highest.version()
                                && report.digest().compareTo(highest.digest()) < 0);
                if (lower) {
                    violations.add("instance %s reported version %d %s after %d %s"
                            .formatted(
                                    instance, report.version(), report.digest(), highest.version(), highest.digest()));
                    return;
                }
                highest = report;
            }
        });
        return violations;
    }

    /**
     * Reports requests that were open at the planned stop of their instance and ended without a definite outcome,
     * unless a fault was injected while they were open. Requests that are still open when the history ends are reported
     * too.
     *
     * <p>Resumes at other instances belong to the same request, so a stream that was completed by a resume does not
     * count as cut off.
     */
    static List<String> stopIsGraceful(History history) {
        Map<String, List<Response>> responsesByRequest = history.groupBy(Response.class, Response::request);
        Map<String, List<Sent>> copiesByEntry = history.groupBy(Sent.class, Sent::entry);
        List<Fault> faults = history.recordsOfType(Fault.class);
        List<String> violations = new ArrayList<>();
        for (Stop stop : history.recordsOfType(Stop.class)) {
            for (Sent copy : copiesByEntry.getOrDefault(stop.instance(), List.of())) {
                List<Response> copyResponses = responsesByRequest.getOrDefault(copy.request(), List.of());
                if (copyResponses.isEmpty()) {
                    violations.add("request %s at %s was open when the history ended"
                            .formatted(copy.request(), stop.instance()));
                    continue;
                }
                Response last = copyResponses.getLast();
                boolean openAtStop = last.atMs() >= stop.atMs();
                boolean interrupted = last.outcome() == null || last.outcome() == Outcome.UNKNOWN;
                boolean openAtFault =
                        faults.stream().anyMatch(fault -> fault.atMs() >= copy.atMs() && fault.atMs() <= last.atMs());
                if (openAtStop && interrupted && !openAtFault) {
                    violations.add("request %s at %s was cut off by the planned stop (%s)"
                            .formatted(copy.request(), stop.instance(), last.type()));
                }
            }
        }
        return violations;
    }
}
