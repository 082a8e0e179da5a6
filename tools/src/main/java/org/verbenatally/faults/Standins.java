package org.verbenatally.faults;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.verbenatally.core.Address;
import org.verbenatally.history.History;
import org.verbenatally.history.HistoryRecord.Run;

/** The stand-in processes of a cluster: platform, engines and plain services. */
final class Standins implements AutoCloseable {
    static final String PLATFORM = "platform";
    private static final String SHARED_PROCESS = "standins";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Path folder;
    private final Map<String, String> arguments = new TreeMap<>();
    private final Map<String, ChildProcess> processes = new ConcurrentHashMap<>();
    private final Map<String, Address> addresses = new ConcurrentHashMap<>();

    /** Starts the platform and all targets of a deployment document. */
    Standins(Path folder, ClusterOptions options, JsonNode document) {
        this.folder = folder;
        List<String> sharedArguments = new ArrayList<>();
        sharedArguments.add("platform,id=platform,instanceLagMs=500");
        for (JsonNode target : document.path("targets")) {
            String id = target.path("id").asText();
            arguments.put(id, argument(target, options));
            if (!options.separateTargets().contains(id)) {
                sharedArguments.add(arguments.get(id));
            }
        }
        start(SHARED_PROCESS, sharedArguments);
        options.separateTargets().forEach(id -> start(id, List.of(arguments.get(id) + ",port=" + Ports.findFree())));
    }

    private String argument(JsonNode target, ClusterOptions options) {
        String id = target.path("id").asText();
        String type = target.path("type").asText();
        StringBuilder argument = new StringBuilder(type)
                .append(",id=")
                .append(id)
                .append(",seed=")
                .append(options.seed())
                .append(",history=")
                .append(historyFile(id));
        if (type.equals("engine")) {
            argument.append(",checksFence=").append(target.path("checksFence").asBoolean());
            options.engineOptions()
                    .forEach((name, value) ->
                            argument.append(',').append(name).append('=').append(value));
        }
        return argument.toString();
    }

    private Path historyFile(String id) {
        return folder.resolve(id + ".runs.jsonl");
    }

    private void start(String name, List<String> standins) {
        ChildProcess process = ChildProcess.start(name, folder, StandinGroupMain.class.getName(), standins);
        processes.put(name, process);
        for (String line : process.awaitLine("ready")) {
            String[] parts = line.split(" ");
            if (parts[0].equals("listening")) {
                addresses.put(parts[1], new Address("127.0.0.1", Integer.parseInt(parts[2])));
            }
        }
    }

    /** Returns the address at which a stand-in itself listens, not that of a relay. */
    Address address(String id) {
        return addresses.get(id);
    }

    /**
     * Returns the process of a target that runs in a separate process.
     *
     * @throws IllegalArgumentException if the target shares a process with other stand-ins
     */
    ChildProcess process(String id) {
        ChildProcess process = processes.get(id);
        if (process == null) {
            throw new IllegalArgumentException(id + " does not run in a separate process");
        }
        return process;
    }

    /** Restarts a killed target on the same port. */
    void restart(String id) {
        start(id, List.of(arguments.get(id) + ",port=" + addresses.get(id).port()));
    }

    /** Returns the names of the processes by process id. */
    Map<Long, String> processNames() {
        Map<Long, String> names = new HashMap<>();
        processes.forEach((name, process) -> names.put(process.pid(), name));
        return names;
    }

    /** Sends a request to an admin route of a stand-in. */
    String admin(String id, String method, String path, Map<String, String> headers, String body) {
        return AdminClient.request(addresses.get(id), method, path, headers, body);
    }

    /** Changes options of a target at run time. */
    void changeOptions(String id, String json) {
        admin(id, "PATCH", "/admin/options", Map.of(), json);
    }

    /** Adds the runs of all targets to a history. The files also contain the runs of killed processes. */
    void addRuns(History history) {
        arguments.keySet().forEach(id -> {
            Map<String, JsonNode> starts = new HashMap<>();
            Map<String, JsonNode> ends = new HashMap<>();
            events(id).forEach(event -> {
                String runId =
                        event.path("generation").asText(event.path("call").asText());
                switch (event.path("event").asText()) {
                    case "start" -> {
                        if (starts.putIfAbsent(runId, event) != null) {
                            // A second start under the same id is a second run.
                            history.add(createRun(id, runId, event, null));
                        }
                    }
                    case "end" -> ends.put(runId, event);
                    default -> {
                        // Other events do not describe a run.
                    }
                }
            });
            starts.forEach((runId, start) -> history.add(createRun(id, runId, start, ends.get(runId))));
        });
    }

    private static Run createRun(String target, String runId, JsonNode start, JsonNode end) {
        boolean onEngine = start.has("generation");
        boolean finished = end != null && "done".equals(end.path("ended").asText());
        long tokens =
                end != null ? end.path("tokens").asLong() : start.path("target").asLong();
        String text = onEngine ? ResponseText.ofGeneration(runId, tokens) : ResponseText.ofServiceRun(start);
        return new Run(
                start.path("ms").asLong(), target, runId, start.path("work").asText(), finished, tokens, text);
    }

    /** Returns the events that a target has written to its history file so far. */
    List<JsonNode> events(String id) {
        Path file = historyFile(id);
        if (!Files.exists(file)) {
            return List.of();
        }
        try (Stream<String> lines = Files.lines(file)) {
            List<JsonNode> events = new ArrayList<>();
            for (String line : lines.toList()) {
                events.add(MAPPER.readTree(line));
            }
            return events;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read " + file, e);
        }
    }

    @Override
    public void close() {
        processes.values().forEach(ChildProcess::close);
    }
}
