package org.verbenatally.faults;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.verbenatally.core.Address;

/** One entry instance of a cluster: its settings, its present process and its addresses. */
final class EntryNode {
    private static final String MAIN = "org.verbenatally.entry.EntryMain";

    private static final int START_TRIES = 3;

    private final String name;
    private final Path folder;
    private final ObjectNode settings;
    private volatile ChildProcess process;
    private volatile Address callers;
    private volatile Address operator;
    private final Address peers;

    EntryNode(String name, Path folder, ObjectNode settings) {
        this.name = name;
        this.folder = folder;
        this.settings = settings;
        peers = new Address("127.0.0.1", settings.path("peers").path("port").asInt());
    }

    /** Starts the process without waiting for its addresses; after a first run it gets the same ports again. */
    void start() {
        if (callers != null) {
            ((ObjectNode) settings.path("callers")).put("port", callers.port());
            ((ObjectNode) settings.path("operator")).put("port", operator.port());
        }
        Path file = folder.resolve(name + ".settings.json");
        try {
            Files.writeString(file, settings.toPrettyString());
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write " + file, e);
        }
        process = ChildProcess.start(name, folder, MAIN, List.of("--settings", file.toString()));
    }

    /** Waits until the process has printed where it listens; starts it again if another process took a port. */
    void awaitAddresses() {
        String line = awaitListening();
        for (String part : line.split(" ")) {
            int equals = part.indexOf('=');
            String value = part.substring(equals + 1);
            switch (equals < 0 ? part : part.substring(0, equals)) {
                case "callers" -> callers = Address.parse(value);
                case "operator" -> operator = Address.parse(value);
                default -> {
                    // The first word, or an address that is of no interest here.
                }
            }
        }
        if (callers == null || operator == null) {
            throw new IllegalStateException(name + " printed an unexpected line: " + line);
        }
    }

    private String awaitListening() {
        for (int i = 1; ; i++) {
            try {
                return process.awaitLine("listening").getLast();
            } catch (IllegalStateException e) {
                if (i == START_TRIES || !portWasTaken()) {
                    throw e;
                }
                if (callers == null) {
                    ((ObjectNode) settings.path("callers")).put("port", Ports.pick());
                    ((ObjectNode) settings.path("operator")).put("port", Ports.pick());
                }
                start();
            }
        }
    }

    private boolean portWasTaken() {
        try {
            return Files.readString(folder.resolve(name + ".log")).contains("Address already in use");
        } catch (IOException e) {
            return false;
        }
    }

    String name() {
        return name;
    }

    ChildProcess process() {
        return process;
    }

    Address callers() {
        return callers;
    }

    Address operator() {
        return operator;
    }

    Address peers() {
        return peers;
    }

    boolean isReady() {
        return process.isAlive() && Admin.status(operator, "/ready") == 200;
    }
}
