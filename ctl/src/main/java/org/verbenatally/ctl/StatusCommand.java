package org.verbenatally.ctl;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.verbenatally.core.Address;

/** Shows the state of the entry instances and where they disagree. */
final class StatusCommand implements Command {
    private static final Duration TIMEOUT = Duration.ofSeconds(3);
    private static final int HTTP_OK = 200;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Override
    public String name() {
        return "status";
    }

    @Override
    public String summary() {
        return "Shows version, members, targets and queues of each entry, and where entries disagree.";
    }

    @Override
    public String usage() {
        return "[--json] HOST:PORT...\nexample: verbenatally-ctl status 127.0.0.1:9001 127.0.0.1:9002\n"
                + "The addresses are the operator addresses of the entries.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(Option.builder()
                        .longOpt("json")
                        .desc("print one JSON array")
                        .get());
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException, IOException {
        if (line.getArgList().isEmpty()) {
            throw new UsageException("needs the operator address of at least one entry");
        }
        ArrayNode reports = MAPPER.createArrayNode();
        List<String> silent = new ArrayList<>();
        for (String text : line.getArgs()) {
            Address address = parse(text);
            try {
                reports.add(fetch(address));
            } catch (IOException e) {
                silent.add(address + ": " + (e.getMessage() == null ? "cannot connect" : e.getMessage()));
            }
        }
        if (line.hasOption("json")) {
            console.out().println(MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(reports));
        } else {
            reports.forEach(report -> print(console, report));
        }
        silent.forEach(text -> console.err().println("no answer from " + text));
        Set<String> versions = new TreeSet<>();
        reports.forEach(report -> versions.add(report.path("configVersion").asText()));
        if (versions.size() > 1) {
            console.err().println("entries disagree on the configuration version: " + versions);
        }
        return silent.isEmpty() && versions.size() <= 1 ? ExitStatus.OK : ExitStatus.REFUSED;
    }

    private static Address parse(String text) throws UsageException {
        try {
            return Address.parse(text);
        } catch (IllegalArgumentException e) {
            throw new UsageException(e.getMessage());
        }
    }

    private static JsonNode fetch(Address address) throws IOException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/operator/status"))
                .timeout(TIMEOUT)
                .build();
        try (HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build()) {
            HttpResponse<byte[]> response = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
            if (response.statusCode() != HTTP_OK) {
                throw new IOException("status " + response.statusCode());
            }
            return MAPPER.readTree(response.body());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private static void print(Console console, JsonNode report) {
        console.out()
                .printf(
                        "%s  ready=%s  config=%s  members=%d%n",
                        report.path("instance").asText("?"),
                        report.path("ready").asText("?"),
                        report.path("configVersion").asText("?"),
                        report.path("members").size());
        report.path("members").forEach(member -> console.out().println("  member " + compact(member)));
        report.path("targets").forEach(target -> console.out().println("  target " + compact(target)));
    }

    /** Returns the members of an object as {@code name=value} pairs. */
    private static String compact(JsonNode node) {
        if (!node.isObject()) {
            return node.asText();
        }
        List<String> parts = new ArrayList<>();
        node.properties()
                .forEach(entry ->
                        parts.add(entry.getKey() + "=" + entry.getValue().asText()));
        return String.join(" ", parts);
    }
}
