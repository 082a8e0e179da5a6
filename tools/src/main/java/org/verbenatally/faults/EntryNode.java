package org.verbenatally.faults;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.verbenatally.core.Address;

/** One entry instance of a cluster: its settings, its current process and its addresses. */
final class EntryNode {
    private static final String MAIN_CLASS = "org.verbenatally.entry.EntryMain";

    private static final int MAX_START_TRIES = 3;

    private final String name;
    private final Path folder;
    private final ObjectNode settings;
    private volatile ChildProcess process;
    private volatile Address callerAddress;
    private volatile Address operatorAddress;
    private final Address peerAddress;

    EntryNode(String name, Path folder, ObjectNode settings) {
        this.name = name;
        this.folder = folder;
        this.settings = settings;
        peerAddress =
                new Address("127.0.0.1", settings.path("peers").path("port").asInt());
    }

    /** Starts the process without waiting for its addresses. A restarted entry uses the same ports as before. */
    void start() {
        if (callerAddress != null) {
            ((ObjectNode) settings.path("callers")).put("port", callerAddress.port());
            ((ObjectNode) settings.path("operator")).put("port", operatorAddress.port());
        }
        Path file = folder.resolve(name + ".settings.json");
        try {
            Files.writeString(file, settings.toPrettyString());
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write " + file, e);
        }
        process = ChildProcess.start(name, folder, MAIN_CLASS, List.of("--settings", file.toString()));
    }

    /** Waits until the process has printed its addresses. Restarts it if another process has taken one of its ports. */
    void awaitAddresses() {
        String line = awaitListeningLine();
        for (String part : line.split(" ")) {
            int equals = part.indexOf('=');
            String value = part.substring(equals + 1);
            switch (equals < 0 ? part : part.substring(0, equals)) {
                case "callers" -> callerAddress = Address.parse(value);
                case "operator" -> operatorAddress = Address.parse(value);
                default -> {
                    // The first word, or an address that is not needed here.
                }
            }
        }
        if (callerAddress == null || operatorAddress == null) {
            throw new IllegalStateException(name + " printed an unexpected line: " + line);
        }
    }

    private String awaitListeningLine() {
        for (int i = 1; ; i++) {
            try {
                return process.awaitLine("listening").getLast();
            } catch (IllegalStateException e) {
                if (i == MAX_START_TRIES || !isPortTaken()) {
                    throw e;
                }
                if (callerAddress == null) {
                    ((ObjectNode) settings.path("callers")).put("port", Ports.findFree());
                    ((ObjectNode) settings.path("operator")).put("port", Ports.findFree());
                }
                start();
            }
        }
    }

    private boolean isPortTaken() {
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

    Address callerAddress() {
        return callerAddress;
    }

    Address operatorAddress() {
        return operatorAddress;
    }

    Address peerAddress() {
        return peerAddress;
    }

    boolean isReady() {
        return process.isAlive() && AdminClient.status(operatorAddress, "/ready") == 200;
    }
}
