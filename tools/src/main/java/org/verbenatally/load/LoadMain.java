package org.verbenatally.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.verbenatally.config.ConfigException;
import org.verbenatally.config.ConfigReader;
import org.verbenatally.config.Deployment;
import org.verbenatally.config.Target;
import org.verbenatally.config.TargetType;
import org.verbenatally.core.Address;
import org.verbenatally.core.Program;
import org.verbenatally.history.History;
import org.verbenatally.standin.EngineOptions;
import org.verbenatally.standin.OptionRecords;

/** Sends load to a fleet and prints a summary. Exit status 1: the run failed; 2: invalid arguments. */
public final class LoadMain {
    private static final int COMPARED_SUMMARIES = 2;

    private LoadMain() {}

    /** Runs the experiment that the arguments specify, or compares two summaries. */
    public static void main(String[] args) throws Exception {
        System.exit(new Program("verbenatally-load", "", "Sends load to a fleet.", options(), LoadMain.class)
                .run(args, LoadMain::execute));
    }

    private static int execute(CommandLine line) throws ParseException {
        try {
            if (line.hasOption("compare")) {
                compare(line.getOptionValues("compare"));
            } else {
                run(line);
            }
            return Program.OK;
        } catch (DecodeException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        } catch (IOException | UncheckedIOException | IllegalStateException e) {
            System.err.println("load: " + e.getMessage());
            return Program.FAILED;
        }
    }

    private static Options options() {
        Options options = new Options();
        options.addOption(Option.builder()
                .longOpt("compare")
                .numberOfArgs(COMPARED_SUMMARIES)
                .desc("print the ratios of two summary files, the baseline first")
                .get());
        addValueOption(options, "deployment", "abay or aarhus (default abay)");
        addValueOption(options, "entries", "host:port of the entries, comma-separated");
        addValueOption(options, "engines", "host:port of the engines, comma-separated; read to count preemptions");
        addValueOption(
                options,
                "callers",
                "JSON file: [{\"organisation\",\"credential\",\"weight\"}] (default: ten, three of them large)");
        addValueOption(
                options,
                "config",
                "deployment document that defines the callers (its organisations) and the engines to read");
        addValueOption(
                options,
                "engine",
                "engine options as NAME=VALUE, comma-separated; used to compute the rate for --load");
        addValueOption(options, "rate", "mean request rate, in requests a second");
        addValueOption(
                options, "load", "offered load as a share of the capacity of the engines; alternative to --rate");
        addValueOption(options, "seconds", "time during which requests arrive, in seconds (default 70)");
        addValueOption(options, "warmup", "warm-up time that is not measured, in seconds (default 10)");
        addValueOption(options, "drain", "maximum wait for open requests, in seconds (default 60)");
        addValueOption(options, "seed", "seed of all random choices (default 1)");
        addValueOption(options, "length-scale", "factor on output lengths and prompt prefixes (default 1)");
        addValueOption(options, "burst-factor", "factor on the rate during bursts (default 2; 1 for no bursts)");
        addValueOption(options, "burst-seconds", "length of a burst, in seconds (default 4)");
        addValueOption(options, "burst-every", "time from the start of one burst to the next, in seconds (default 20)");
        addValueOption(options, "burst-organisation", "the only organisation that has bursts (default: all)");
        addValueOption(
                options, "out", "directory for requests.csv, summary.json and plots (default: summary on stdout only)");
        addValueOption(options, "history", "file to which the callers' history is written");
        return options;
    }

    private static void addValueOption(Options options, String name, String description) {
        options.addOption(
                Option.builder().longOpt(name).hasArg().desc(description).get());
    }

    private static void compare(String[] files) throws IOException {
        System.out.print(SummaryComparison.table(
                new JsonObject(Files.readString(Path.of(files[0]))),
                new JsonObject(Files.readString(Path.of(files[1])))));
    }

    private static void run(CommandLine line) throws ParseException, IOException {
        History history = line.hasOption("history") ? new History() : null;
        LoadOptions options = loadOptions(line);
        LoadResult result = history == null ? new LoadRun(options).run() : new LoadRun(options, history::add).run();
        System.out.println(result.summary().encodePrettily());
        if (line.hasOption("out")) {
            result.write(Path.of(line.getOptionValue("out")));
        }
        if (history != null) {
            history.write(Path.of(line.getOptionValue("history")));
        }
    }

    private static LoadOptions loadOptions(CommandLine line) throws ParseException, IOException {
        Workload workload = Workload.of(
                line.getOptionValue("deployment", "abay"),
                Double.parseDouble(line.getOptionValue("length-scale", "1")));
        List<Address> engines = addresses(line.getOptionValue("engines", ""));
        List<Caller> callers = Caller.tenWithThreeLarge();
        if (line.hasOption("config")) {
            Deployment deployment = deployment(line.getOptionValue("config"));
            callers = Caller.of(deployment);
            engines = engines.isEmpty() ? engines(deployment) : engines;
        }
        if (line.hasOption("callers")) {
            callers = callers(Files.readString(Path.of(line.getOptionValue("callers"))));
        }
        double rate = rate(line, workload, engines.size());
        return new LoadOptions(
                workload,
                callers,
                addresses(line.getOptionValue("entries", "")),
                engines,
                rate,
                Integer.parseInt(line.getOptionValue("seconds", "70")),
                Integer.parseInt(line.getOptionValue("warmup", "10")),
                Integer.parseInt(line.getOptionValue("drain", "60")),
                Long.parseLong(line.getOptionValue("seed", "1")),
                Double.parseDouble(line.getOptionValue("burst-factor", "2")),
                Double.parseDouble(line.getOptionValue("burst-seconds", "4")),
                Double.parseDouble(line.getOptionValue("burst-every", "20")),
                line.getOptionValue("burst-organisation", ""),
                true);
    }

    private static double rate(CommandLine line, Workload workload, int engines) throws ParseException {
        if (line.hasOption("rate")) {
            return Double.parseDouble(line.getOptionValue("rate"));
        }
        if (!line.hasOption("load") || engines == 0) {
            throw new ParseException("--rate, or --load with --engines or --config, is required");
        }
        Map<String, String> overrides = new LinkedHashMap<>();
        for (String pair : line.getOptionValue("engine", "").split(",")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                overrides.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
        }
        EngineOptions engine = OptionRecords.with(EngineOptions.defaults("any"), overrides);
        return Double.parseDouble(line.getOptionValue("load")) * workload.capacity(engine, engines);
    }

    private static Deployment deployment(String file) throws IOException {
        try {
            return ConfigReader.read(file, Files.readAllBytes(Path.of(file)));
        } catch (ConfigException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    private static List<Address> engines(Deployment deployment) {
        return deployment.targets().values().stream()
                .filter(target -> target.type() == TargetType.ENGINE)
                .map(Target::address)
                .toList();
    }

    private static List<Address> addresses(String text) {
        List<Address> addresses = new ArrayList<>();
        for (String address : text.split(",")) {
            if (!address.isBlank()) {
                addresses.add(Address.parse(address.strip()));
            }
        }
        return addresses;
    }

    private static List<Caller> callers(String json) {
        List<Caller> callers = new ArrayList<>();
        for (Object element : new JsonArray(json)) {
            JsonObject caller = (JsonObject) element;
            callers.add(new Caller(
                    caller.getString("organisation"), caller.getString("credential"), caller.getDouble("weight", 1.0)));
        }
        return callers;
    }
}
