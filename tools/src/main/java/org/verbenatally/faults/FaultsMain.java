package org.verbenatally.faults;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.verbenatally.core.Program;
import org.verbenatally.history.History;
import org.verbenatally.history.HistoryChecker;
import org.verbenatally.history.HistoryReport;

/**
 * Runs the fault table. Each case runs against real processes, and its history is checked afterwards. Prints one line
 * for each case and {@code N passed, N failed} at the end. Exit status 0: all cases held; 1: at least one case was
 * broken; 2: wrong arguments.
 */
public final class FaultsMain {
    private final long seed;
    private final boolean keepHistory;

    private FaultsMain(long seed, boolean keepHistory) {
        this.seed = seed;
        this.keepHistory = keepHistory;
    }

    /**
     * The result of a case.
     *
     * @param name name of the case
     * @param held whether no invariant was violated and all expectations of the case were met
     * @param line text to print for the case
     */
    record CaseResult(String name, boolean held, String line) {}

    /** Runs the cases that the arguments select. */
    public static void main(String[] args) throws Exception {
        System.exit(
                new Program("faults", "", "Runs the fault table against real processes.", options(), FaultsMain.class)
                        .run(args, FaultsMain::run));
    }

    private static int run(CommandLine commandLine) {
        if (commandLine.hasOption("list")) {
            allCases().forEach(each -> System.out.println(each.name()));
            return Program.OK;
        }
        long seed = Long.parseLong(commandLine.getOptionValue("seed", "1"));
        int pairs = Integer.parseInt(commandLine.getOptionValue("pairs", "0"));
        List<FaultCase> cases = commandLine.hasOption("case")
                ? select(commandLine.getOptionValues("case"))
                : pairs > 0 ? PairCases.random(pairs, seed) : allCases();
        int jobs = Integer.parseInt(commandLine.getOptionValue("jobs", "1"));
        boolean held = new FaultsMain(seed, commandLine.hasOption("keep")).run(cases, jobs);
        return held ? Program.OK : Program.FAILED;
    }

    private static Options options() {
        return new Options()
                .addOption(null, "list", false, "print the names of all cases")
                .addOption(null, "case", true, "run this case, or a pair such as kill-entry+publish; may be repeated")
                .addOption(null, "pairs", true, "run this many random pairs of faults")
                .addOption(null, "seed", true, "seed of all random choices; default: 1")
                .addOption(null, "jobs", true, "number of cases to run at the same time; default: 1")
                .addOption(null, "keep", false, "keep the history of cases that held");
    }

    /** Returns all cases, the most important first. Pairs are not included. */
    static List<FaultCase> allCases() {
        return Stream.of(
                        StreamCases.cases(),
                        KeyCases.cases(),
                        StopCases.cases(),
                        LinkCases.cases(),
                        PlatformCases.cases())
                .flatMap(List::stream)
                .toList();
    }

    /**
     * Returns the cases with the given names, in the given order.
     *
     * @throws IllegalArgumentException if a name is unknown
     */
    static List<FaultCase> select(String... names) {
        return Stream.of(names)
                .map(name -> allCases().stream()
                        .filter(each -> each.name().equals(name))
                        .findFirst()
                        .or(() -> PairCases.byName(name))
                        .orElseThrow(() -> new IllegalArgumentException("unknown case " + name)))
                .toList();
    }

    private boolean run(List<FaultCase> cases, int jobs) {
        System.out.println("faults: seed " + seed);
        List<CaseResult> results = new ArrayList<>();
        try (ExecutorService executor = Executors.newFixedThreadPool(jobs)) {
            List<Future<CaseResult>> running = cases.stream()
                    .map(faultCase -> executor.submit(() -> {
                        CaseResult result = runCase(faultCase, seed, keepHistory);
                        System.out.println(result.line());
                        return result;
                    }))
                    .toList();
            for (Future<CaseResult> future : running) {
                results.add(future.get());
            }
        } catch (Exception e) {
            throw new IllegalStateException("the fault runner failed", e);
        }
        long passed = results.stream().filter(CaseResult::held).count();
        System.out.println(passed + " passed, " + (results.size() - passed) + " failed");
        return passed == results.size();
    }

    /** Runs one case and checks its history. */
    static CaseResult runCase(FaultCase faultCase, long seed, boolean keepHistory) {
        long startNanos = System.nanoTime();
        try (Cluster cluster = Cluster.start(faultCase.options().apply(seed))) {
            Trial trial = new Trial(cluster, seed);
            try {
                faultCase.body().run(trial);
            } catch (RuntimeException e) {
                trial.expect(false, "stopped: " + e.getMessage());
            }
            History history = cluster.collectHistory();
            HistoryReport report = new HistoryChecker().check(history);
            boolean held = report.hasNoViolations() && trial.failures().isEmpty();
            StringBuilder line = new StringBuilder(faultCase.name())
                    .append(held ? " held " : " broken ")
                    .append(report.counts().summary());
            trial.figures()
                    .forEach((name, value) ->
                            line.append(' ').append(name).append('=').append(value));
            line.append(" took-s=").append((System.nanoTime() - startNanos) / 1_000_000_000);
            report.violations().stream()
                    .limit(5)
                    .forEach(each -> line.append("\n    ").append(each));
            trial.failures()
                    .forEach(each -> line.append("\n    expected otherwise: ").append(each));
            if (keepHistory || !held) {
                Path file = cluster.folder().resolve("history.jsonl");
                history.write(file);
                line.append("\n    history: ").append(file);
            }
            return new CaseResult(faultCase.name(), held, line.toString());
        } catch (RuntimeException e) {
            String topFrames =
                    Stream.of(e.getStackTrace()).limit(3).map(Object::toString).collect(Collectors.joining("; "));
            return new CaseResult(
                    faultCase.name(), false, faultCase.name() + " broken not started: " + e + " at " + topFrames);
        }
    }
}
