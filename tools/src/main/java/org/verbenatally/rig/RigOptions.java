package org.verbenatally.rig;

import java.nio.file.Path;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * Options of a run.
 *
 * @param root folder of the program whose instances are started, after {@code deploy/build}
 * @param record file to which breaches are appended, one JSON object a line
 * @param seed seed of all random choices
 * @param duration how long callers send requests
 * @param instances number of instances
 * @param callers number of callers, each with a kept connection
 * @param failures share of the answers that state a failure or a refusal
 * @param leavers share of the requests whose callers leave early
 * @param uploads share of the requests that have large bodies
 * @param freezes whether instances are suspended for some time, one after the other
 * @param restarts whether instances are terminated and started again, one after the other
 * @param departures whether engines announce their departure, one after the other, so that generations are copied
 * @param shares shares of the answers
 */
record RigOptions(
        Path root,
        Path record,
        long seed,
        Duration duration,
        int instances,
        int callers,
        double failures,
        double leavers,
        double uploads,
        boolean freezes,
        boolean restarts,
        boolean departures,
        Map<Misbehaviour, Double> shares) {

    RigOptions {
        Objects.requireNonNull(root, "root");
        Objects.requireNonNull(record, "record");
        if (instances < 1 || callers < 1 || !duration.isPositive()) {
            throw new IllegalArgumentException("instances, callers and seconds must be positive");
        }
        shares = Map.copyOf(shares);
    }

    static Options options() {
        return new Options()
                .addOption(null, "root", true, "folder of the program to start; default: the current one")
                .addOption(null, "record", true, "file for breaches; default: target/rig.jsonl")
                .addOption(null, "seed", true, "seed of all random choices; default: 1")
                .addOption(null, "seconds", true, "how long callers send requests; default: 45")
                .addOption(null, "instances", true, "number of instances; default: 2")
                .addOption(null, "callers", true, "number of callers; default: 40")
                .addOption(null, "failures", true, "share of failures and refusals; default: 0.4")
                .addOption(null, "leavers", true, "share of callers that leave early; default: 0.15")
                .addOption(null, "uploads", true, "share of requests with large bodies; default: 0.05")
                .addOption(null, "freezes", false, "suspend instances in turn")
                .addOption(null, "restarts", false, "terminate and restart instances in turn")
                .addOption(null, "departures", false, "let engines leave in turn")
                .addOption(null, "only", true, "leave out all misbehaviours but these, separated by commas")
                .addOption(null, "share", true, "share of a misbehaviour, as in repeat_cut=0.3; may be repeated");
    }

    static RigOptions of(CommandLine line) {
        return new RigOptions(
                Path.of(line.getOptionValue("root", ".")).toAbsolutePath(),
                Path.of(line.getOptionValue("record", "target/rig.jsonl")),
                Long.parseLong(line.getOptionValue("seed", "1")),
                Duration.ofSeconds(Long.parseLong(line.getOptionValue("seconds", "45"))),
                Integer.parseInt(line.getOptionValue("instances", "2")),
                Integer.parseInt(line.getOptionValue("callers", "40")),
                Double.parseDouble(line.getOptionValue("failures", "0.4")),
                Double.parseDouble(line.getOptionValue("leavers", "0.15")),
                Double.parseDouble(line.getOptionValue("uploads", "0.05")),
                line.hasOption("freezes"),
                line.hasOption("restarts"),
                line.hasOption("departures"),
                shares(line));
    }

    private static Map<Misbehaviour, Double> shares(CommandLine line) {
        Map<Misbehaviour, Double> shares = new EnumMap<>(Misbehaviour.class);
        if (line.hasOption("only")) {
            for (String name : line.getOptionValue("only").split(",")) {
                Misbehaviour each = parse(name);
                shares.put(each, each.share());
            }
        } else {
            for (Misbehaviour each : Misbehaviour.values()) {
                shares.put(each, each.share());
            }
        }
        for (String entry : line.hasOption("share") ? line.getOptionValues("share") : new String[0]) {
            String[] parts = entry.split("=", 2);
            shares.put(parse(parts[0]), Double.parseDouble(parts[1]));
        }
        return shares;
    }

    private static Misbehaviour parse(String name) {
        return Misbehaviour.valueOf(name.strip().toUpperCase(Locale.ROOT));
    }

    /** Draws whether an answer gets a misbehaviour. */
    boolean draws(Misbehaviour misbehaviour, SplittableRandom random) {
        return random.nextDouble() < shares.getOrDefault(misbehaviour, 0.0);
    }

    /** Returns the generator of the choices on one matter, which do not depend on the order of events. */
    SplittableRandom random(String matter) {
        return new SplittableRandom(seed * 0x9E3779B97F4A7C15L ^ (long) matter.hashCode() << 16);
    }
}
