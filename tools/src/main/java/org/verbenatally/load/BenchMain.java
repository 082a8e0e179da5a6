package org.verbenatally.load;

import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.verbenatally.core.Program;
import org.verbenatally.policy.PolicySuite;

/**
 * Entry point of {@code bin/bench}. {@code decisions} measures the cost of a routing decision, {@code policies}
 * compares policies in processes on loopback, and {@code trial} compares policies in memory and in virtual time.
 */
public final class BenchMain {
    private BenchMain() {}

    /** Runs the benchmark named by the first argument; the default is {@code policies}. */
    public static void main(String[] args) throws Exception {
        new Program(
                        "bench",
                        "[policies|decisions|trial]",
                        "Measures routing decisions and compares policies.",
                        options(),
                        BenchMain.class)
                .start(args, BenchMain::run);
    }

    private static int run(CommandLine line) throws ParseException {
        String benchmark =
                line.getArgList().isEmpty() ? "policies" : line.getArgList().getFirst();
        switch (benchmark) {
            case "decisions" -> new DecisionBench(line.hasOption("quick")).run();
            case "policies" -> new PolicyBench(plan(line, 80)).run();
            case "trial" -> new TrialBench(plan(line, 600)).run();
            default -> throw new ParseException("unknown benchmark: " + benchmark);
        }
        return Program.OK;
    }

    private static Options options() {
        return new Options()
                .addOption(null, "quick", false, "run a reduced set of measurements")
                .addOption(null, "seed", true, "seed of all random choices; default: 1")
                .addOption(null, "deployment", true, "abay or aarhus; default: aarhus")
                .addOption(null, "entries", true, "number of entries in front of the engines")
                .addOption(null, "loads", true, "offered loads as shares of capacity, comma-separated")
                .addOption(null, "lags", true, "lags of the load reports in milliseconds, comma-separated")
                .addOption(null, "seconds", true, "time during which requests arrive in each run, in seconds")
                .addOption(null, "policies", true, "policies to compare, comma-separated; default: all");
    }

    private static BenchPlan plan(CommandLine line, int seconds) {
        boolean quick = line.hasOption("quick");
        return new BenchPlan(
                line.getOptionValue("deployment", "aarhus"),
                Integer.parseInt(line.getOptionValue("entries", quick ? "2" : "8")),
                numbers(line.getOptionValue("loads", quick ? "0.9" : "0.7,0.9,1.1")),
                numbers(line.getOptionValue("lags", quick ? "500" : "500,2000")),
                Integer.parseInt(line.getOptionValue("seconds", Integer.toString(quick ? seconds / 2 : seconds))),
                Long.parseLong(line.getOptionValue("seed", "1")),
                List.of(line.getOptionValue("policies", String.join(",", PolicySuite.names()))
                        .split(",")));
    }

    private static List<Double> numbers(String text) {
        return List.of(text.split(",")).stream().map(Double::valueOf).toList();
    }
}
