package org.verbenatally.load;

import java.util.List;
import java.util.Locale;

import org.verbenatally.policy.PolicySuite;
import org.verbenatally.standin.EngineOptions;

/** Entry point of {@code bin/bench}. */
public final class BenchMain {
    private BenchMain() {}

    /** Runs the benchmark that the first argument names. */
    public static void main(String[] args) {
        double load = args.length > 1 ? Double.parseDouble(args[1]) : 0.9;
        long lag = args.length > 2 ? Long.parseLong(args[2]) : 500;
        int seconds = args.length > 3 ? Integer.parseInt(args[3]) : 300;
        List<String> names = args.length > 4 ? List.of(args[4].split(",")) : PolicySuite.names();
        long seed = args.length > 5 ? Long.parseLong(args[5]) : 1;
        System.out.println(
                "policy stall stallFirst preempt gap99 gap999 goodput refused refusedU urgentMet u95 p50 p95 small95");
        names.parallelStream().forEach(name -> {
            var m = new PolicyTrial(
                            new PolicyTrial.Setting(
                                    name, 8, 8, load, lag, seconds, seed, args.length > 6 ? args[6] : "aarhus"),
                            EngineOptions.defaults("engine"))
                    .run();
            System.out.printf(
                    Locale.ROOT,
                    "%-20s %9.1f %9.1f %5d %6.1f %7.1f %7.0f %5d %5d %.3f %6.0f %7.0f %8.0f %7.0f%n",
                    name,
                    m.stallSeconds(),
                    m.stallFirstSeconds(),
                    m.preemptions(),
                    m.gapMs(99),
                    m.gapMs(99.9),
                    m.goodput(),
                    m.refused(),
                    m.refusedUrgent(),
                    m.urgentMet(),
                    m.urgentFirstMs(95),
                    m.patientFirstMs(50),
                    m.patientFirstMs(95),
                    m.smallFirstMs(95));
        });
    }
}
