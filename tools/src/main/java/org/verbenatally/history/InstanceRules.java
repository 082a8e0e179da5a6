package org.verbenatally.history;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.verbenatally.core.Outcome;
import org.verbenatally.history.HistoryRecord.Answer;
import org.verbenatally.history.HistoryRecord.Fault;
import org.verbenatally.history.HistoryRecord.Sent;
import org.verbenatally.history.HistoryRecord.Stop;
import org.verbenatally.history.HistoryRecord.VersionSeen;

/** Rules on the entry instances. */
final class InstanceRules {
    private InstanceRules() {}

    /** Reports instances whose configuration in force fell to a lower version, or to a lower digest of the same one. */
    static List<String> configMonotonic(History history) {
        List<String> found = new ArrayList<>();
        history.by(VersionSeen.class, VersionSeen::instance).forEach((instance, reports) -> {
            VersionSeen highest = reports.getFirst();
            for (VersionSeen report : reports) {
                boolean lower = report.version() < highest.version()
                        || (report.version() == highest.version()
                                && report.digest().compareTo(highest.digest()) < 0);
                if (lower) {
                    found.add("instance %s reported version %d %s after %d %s"
                            .formatted(
                                    instance, report.version(), report.digest(), highest.version(), highest.digest()));
                    return;
                }
                highest = report;
            }
        });
        return found;
    }

    /**
     * Reports requests at an instance under a planned stop that ended without their outcome, unless a fault was
     * injected while they were open. The caller's resumes elsewhere belong to the request, so a stream that was
     * completed by a resume is not cut off.
     */
    static List<String> stopIsGraceful(History history) {
        Map<String, List<Answer>> answers = history.by(Answer.class, Answer::request);
        Map<String, List<Sent>> sent = history.by(Sent.class, Sent::entry);
        List<Fault> faults = history.all(Fault.class);
        List<String> found = new ArrayList<>();
        for (Stop stop : history.all(Stop.class)) {
            for (Sent copy : sent.getOrDefault(stop.instance(), List.of())) {
                List<Answer> ends = answers.getOrDefault(copy.request(), List.of());
                if (ends.isEmpty()) {
                    found.add("request %s at %s was open when the history ended"
                            .formatted(copy.request(), stop.instance()));
                    continue;
                }
                Answer end = ends.getLast();
                boolean open = end.atMs() >= stop.atMs();
                boolean cut = end.outcome() == null || end.outcome() == Outcome.UNKNOWN;
                boolean excused =
                        faults.stream().anyMatch(fault -> fault.atMs() >= copy.atMs() && fault.atMs() <= end.atMs());
                if (open && cut && !excused) {
                    found.add("request %s at %s was cut off by the planned stop (%s)"
                            .formatted(copy.request(), stop.instance(), end.type()));
                }
            }
        }
        return found;
    }
}
