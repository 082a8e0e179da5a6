package org.verbenatally.faults;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.verbenatally.config.TargetType;
import org.verbenatally.core.Program;
import org.verbenatally.history.History;
import org.verbenatally.history.HistoryChecker;
import org.verbenatally.history.HistoryReport;
import org.verbenatally.history.Rule;

/**
 * Runs three entries with as many stand-in targets as the deployment has, sends work items of all kinds, and checks
 * every response. The last line is a JSON object with the figures. Exit status 0: no response was lost, duplicated or
 * mixed up; 1: at least one was; 2: wrong arguments.
 */
public final class DemoMain {
    private static final int ENTRIES = 3;
    private static final int CALLER_TIMEOUT_MS = 30_000;
    private static final int MIN_REQUESTS_PER_SECOND = 25;
    /** Sending takes at most this long, so that the demo ends within a minute. */
    private static final int MAX_SEND_SECONDS = 20;

    private DemoMain() {}

    /** Runs the demo. */
    public static void main(String[] args) throws Exception {
        System.exit(new Program("demo", "", "Runs a deployment on the built-in stand-ins.", options(), DemoMain.class)
                .run(args, DemoMain::run));
    }

    private static int run(CommandLine commandLine) {
        boolean passed = run(
                commandLine.getOptionValue("deployment", "abay"),
                Integer.parseInt(commandLine.getOptionValue("requests", "300")),
                Long.parseLong(commandLine.getOptionValue("seed", "1")));
        return passed ? Program.OK : Program.FAILED;
    }

    private static Options options() {
        return new Options()
                .addOption(null, "deployment", true, "abay or aarhus; default: abay")
                .addOption(null, "requests", true, "requests to send; default: 300")
                .addOption(null, "seed", true, "seed of all random choices; default: 1");
    }

    private static boolean run(String deployment, int requests, long seed) {
        System.out.println("demo: starting " + deployment + " with " + ENTRIES + " entries, seed " + seed);
        try (Cluster cluster = Cluster.start(ClusterOptions.of(deployment, ENTRIES, seed))) {
            Workload workload = new Workload(cluster, seed, CALLER_TIMEOUT_MS);
            Thread progress = Thread.ofVirtual().start(() -> report(workload, requests));
            workload.run(requests, Math.max(MIN_REQUESTS_PER_SECOND, (double) requests / MAX_SEND_SECONDS));
            progress.interrupt();
            long preemptions = preemptions(cluster);
            History history = cluster.collectHistory();
            HistoryReport report = new HistoryChecker().check(history);
            report.violations().forEach(violation -> System.out.println("demo: " + violation));
            System.out.println(summary(cluster, history, report, requests, preemptions));
            return report.hasNoViolations() && report.counts().done() == requests;
        }
    }

    private static void report(Workload workload, int requests) {
        try {
            while (workload.finished() < requests) {
                Thread.sleep(2_000);
                System.out.println("demo: " + workload.finished() + " of " + requests + " requests finished");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static long preemptions(Cluster cluster) {
        long sum = 0;
        for (var target : cluster.deployment().targets().values()) {
            if (target.type() == TargetType.ENGINE) {
                sum += json(cluster.standins()
                                .admin(target.id().toString(), "GET", "/admin/state", java.util.Map.of(), null))
                        .path("preemptions")
                        .asLong();
            }
        }
        return sum;
    }

    private static JsonNode json(String text) {
        try {
            return new ObjectMapper().readTree(text);
        } catch (IOException e) {
            throw new UncheckedIOException("malformed response of a stand-in", e);
        }
    }

    private static ObjectNode summary(
            Cluster cluster, History history, HistoryReport report, int requests, long preemptions) {
        HistoryReport.Counts counts = report.counts();
        var levels = cluster.deployment().levels();
        ObjectNode summary = new ObjectMapper()
                .createObjectNode()
                .put("requests", requests)
                .put("whole", counts.done())
                .put("failed", requests - counts.done() - counts.unknown())
                .put("unknown", counts.unknown())
                .put("duplicated", report.violationCount(Rule.AT_MOST_ONCE))
                .put("reordered", report.violationCount(Rule.TOKENS_ONCE))
                .put("mixed", report.violationCount(Rule.ANSWERS_MATCH));
        summary.setAll(new StreamTimings(history, levels.firstTokenMs(), levels.tokenGapMs()).json());
        return summary.put("preemptions", preemptions);
    }
}
