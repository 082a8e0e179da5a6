package org.verbenatally.faults;

import java.util.LinkedHashMap;
import java.util.Map;

import org.verbenatally.standin.EngineOptions;
import org.verbenatally.standin.EngineStandin;
import org.verbenatally.standin.OptionRecords;
import org.verbenatally.standin.PlatformOptions;
import org.verbenatally.standin.PlatformStandin;
import org.verbenatally.standin.ServiceOptions;
import org.verbenatally.standin.ServiceStandin;

/**
 * Runs several stand-ins in one process to save memory. Each argument is {@code TYPE,NAME=VALUE,...}, where the type is
 * {@code engine}, {@code service} or {@code platform} and the names are options of the stand-in. Prints
 * {@code listening ID PORT} for each stand-in and then {@code ready}.
 */
public final class StandinGroupMain {
    private static final int CRASH_STATUS = 137;

    private StandinGroupMain() {}

    /** Starts the stand-ins that the arguments describe. */
    public static void main(String[] args) {
        for (String argument : args) {
            Map<String, String> values = new LinkedHashMap<>();
            String[] parts = argument.split(",");
            for (int i = 1; i < parts.length; i++) {
                int equals = parts[i].indexOf('=');
                values.put(parts[i].substring(0, equals), parts[i].substring(equals + 1));
            }
            String id = values.getOrDefault("id", parts[0]);
            System.out.println("listening " + id + " " + start(parts[0], id, values, args.length == 1));
        }
        System.out.println("ready");
    }

    private static int start(String type, String id, Map<String, String> values, boolean onlyStandin) {
        return switch (type) {
            case "engine" -> {
                EngineOptions options = OptionRecords.with(EngineOptions.defaults(id), values);
                // When an engine that shares its process crashes, it closes its listener and connections instead.
                Runnable halt = () -> Runtime.getRuntime().halt(CRASH_STATUS);
                yield new EngineStandin(options, onlyStandin ? halt : null).start();
            }
            case "service" -> new ServiceStandin(OptionRecords.with(ServiceOptions.defaults(id), values)).start();
            case "platform" -> new PlatformStandin(OptionRecords.with(PlatformOptions.defaults(), values)).start();
            default -> throw new IllegalArgumentException("unknown stand-in " + type);
        };
    }
}
