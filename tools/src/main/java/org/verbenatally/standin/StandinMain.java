package org.verbenatally.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.verbenatally.core.Address;
import org.verbenatally.core.Program;

/**
 * Runs one stand-in as a process: {@code engine}, {@code service}, {@code platform} or {@code relay}. Prints {@code
 * listening HOST:PORT} when it is ready and stops on SIGTERM. Exits with status 2 if the arguments are invalid.
 */
public final class StandinMain {
    private static final int CRASH_STATUS = 137;

    private StandinMain() {}

    /** Starts the stand-in named by the first argument. */
    public static void main(String[] args) throws Exception {
        new Program(
                        "verbenatally-standin",
                        "engine|service|platform|relay",
                        "Runs one stand-in.",
                        options(),
                        StandinMain.class)
                .start(args, StandinMain::run);
    }

    private static int run(CommandLine line) throws ParseException {
        if (line.getArgs().length != 1) {
            throw new ParseException("exactly one stand-in must be named");
        }
        System.out.println("listening " + line.getOptionValue("host", "127.0.0.1") + ":" + start(line));
        return Program.OK;
    }

    private static Options options() {
        Options options = new Options();
        for (String name :
                new String[] {"host", "port", "id", "history", "config", "instances", "target", "admin-port"}) {
            options.addOption(Option.builder().longOpt(name).hasArg().get());
        }
        options.addOption(Option.builder().longOpt("set").hasArg().get());
        return options;
    }

    private static int start(CommandLine line) throws ParseException {
        String type = line.getArgs()[0];
        String id = line.getOptionValue("id", type + "-1");
        return switch (type) {
            case "engine" -> {
                var options = OptionRecords.with(EngineOptions.defaults(id), optionChanges(line));
                yield startEngine(
                        new EngineStandin(options, () -> Runtime.getRuntime().halt(CRASH_STATUS)));
            }
            case "service" ->
                startService(new ServiceStandin(OptionRecords.with(ServiceOptions.defaults(id), optionChanges(line))));
            case "platform" -> startPlatform(line);
            case "relay" -> startRelay(line);
            default -> throw new ParseException("unknown stand-in " + type);
        };
    }

    private static int startEngine(EngineStandin engine) {
        closeAtExit(engine);
        return engine.start();
    }

    private static int startService(ServiceStandin service) {
        closeAtExit(service);
        return service.start();
    }

    private static int startPlatform(CommandLine line) {
        var platform = new PlatformStandin(OptionRecords.with(PlatformOptions.defaults(), optionChanges(line)));
        closeAtExit(platform);
        int port = platform.start();
        if (line.hasOption("config")) {
            String document = readFile(line.getOptionValue("config"));
            platform.publish(documentVersion(document), document);
        }
        if (line.hasOption("instances")) {
            for (Object instance : new JsonArray(readFile(line.getOptionValue("instances")))) {
                JsonObject members = (JsonObject) instance;
                platform.putInstance(members.getString("id"), members);
            }
        }
        return port;
    }

    /** Returns the version of a deployment document, which is JSON with comments. */
    private static long documentVersion(String document) {
        try {
            return JsonMapper.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .build()
                    .readTree(document)
                    .path("version")
                    .asLong();
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("the document is not valid JSON: " + e.getOriginalMessage(), e);
        }
    }

    private static int startRelay(CommandLine line) throws ParseException {
        if (!line.hasOption("target")) {
            throw new ParseException("a relay requires --target HOST:PORT");
        }
        Address target = Address.parse(line.getOptionValue("target"));
        String host = line.getOptionValue("host", "127.0.0.1");
        int port = Integer.parseInt(line.getOptionValue("port", "0"));
        var relay = new TcpRelay(new RelayOptions(host, port, target.host(), target.port()));
        closeAtExit(relay);
        var admin = new RelayAdmin(relay, host, Integer.parseInt(line.getOptionValue("admin-port", "0")));
        closeAtExit(admin);
        System.out.println("admin " + host + ":" + admin.start());
        return relay.start();
    }

    private static Map<String, String> optionChanges(CommandLine line) {
        Map<String, String> changes = new LinkedHashMap<>();
        for (String name : new String[] {"host", "port", "id", "history"}) {
            if (line.hasOption(name)) {
                changes.put(name, line.getOptionValue(name));
            }
        }
        if (line.hasOption("set")) {
            for (String pair : line.getOptionValues("set")) {
                int equals = pair.indexOf('=');
                if (equals < 1) {
                    throw new IllegalArgumentException("--set requires NAME=VALUE: " + pair);
                }
                changes.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
        }
        return changes;
    }

    private static String readFile(String file) {
        try {
            return Files.readString(Path.of(file));
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read " + file, e);
        }
    }

    private static void closeAtExit(AutoCloseable closeable) {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                closeable.close();
            } catch (Exception e) {
                System.err.println("standin: close failed: " + e.getMessage());
            }
        }));
    }
}
