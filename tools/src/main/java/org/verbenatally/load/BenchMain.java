package org.verbenatally.load;

import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.verbenatally.policy.PolicySuite;

/**
 * Entry point of {@code bin/bench}: {@code decisions} measures the cost of a decision, {@code policies} compares
 * policies with processes on loopback, {@code trial} compares them in memory and virtual time.
 */
public final class BenchMain {
    private static final String USAGE =
            "usage: bench [policies|decisions|trial] [--quick] [--seed n] [--deployment name] [--entries n]"
                    + " [--loads 0.9,...] [--lags 500,...] [--seconds n] [--policies name,...]";

    private BenchMain() {}

    /** Runs the benchmark that the first argument names; by default it compares the policies. */
    public static void main(String[] args) {
        CommandLine line;
        try {
            line = new DefaultParser().parse(options(), args);
        } catch (ParseException e) {
            System.err.println(e.getMessage() + "\n" + USAGE);
            System.exit(2);
            return;
        }
        if (line.hasOption("help")) {
            System.out.println(USAGE);
            return;
        }
        String command =
                line.getArgList().isEmpty() ? "policies" : line.getArgList().getFirst();
        switch (command) {
            case "decisions" -> new DecisionBench(line.hasOption("quick")).run();
            case "policies" -> new PolicyBench(plan(line, 80)).run();
            case "trial" -> new TrialBench(plan(line, 600)).run();
            default -> {
                System.err.println(USAGE);
                System.exit(2);
            }
        }
    }

    private static Options options() {
        Options options =
                new Options().addOption(Option.builder().longOpt("quick").get());
        options.addOption(Option.builder().longOpt("help").get());
        for (String name : List.of("seed", "deployment", "entries", "loads", "lags", "seconds", "policies")) {
            options.addOption(Option.builder().longOpt(name).hasArg().get());
        }
        return options;
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
