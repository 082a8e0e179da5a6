package org.verbenatally.ctl;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Shows the state of each entry and reports entries that run different configuration versions. */
final class StatusCommand implements Command {
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
        return EntryResponses.options("print one JSON array");
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException, IOException {
        EntryResponses entries = EntryResponses.query(line.getArgList(), "/operator/status");
        if (line.hasOption("json")) {
            entries.printJson(console);
        } else {
            entries.responses().forEach(report -> print(console, report));
        }
        entries.printFailures(console);
        Set<String> configVersions = new TreeSet<>();
        entries.responses()
                .forEach(report ->
                        configVersions.add(report.path("configVersion").asText("none")));
        if (configVersions.size() > 1) {
            console.err().println("entries disagree on the configuration version: " + configVersions);
        }
        return entries.failures().isEmpty() && configVersions.size() <= 1 ? ExitStatus.OK : ExitStatus.REFUSED;
    }

    private static void print(Console console, JsonNode report) {
        console.out()
                .printf(
                        "%s  ready=%s  config=%s  members=%d%n",
                        report.path("instance").asText("?"),
                        report.path("ready").asText("?"),
                        report.path("configVersion").asText("?"),
                        report.path("members").size());
        report.path("members").forEach(member -> console.out().println("  member " + format(member)));
        report.path("targets").forEach(target -> console.out().println("  target " + format(target)));
    }

    /** Returns the fields of an object as {@code name=value} pairs, and any other node as text. */
    private static String format(JsonNode node) {
        if (!node.isObject()) {
            return node.asText();
        }
        List<String> pairs = new ArrayList<>();
        node.properties()
                .forEach(field ->
                        pairs.add(field.getKey() + "=" + field.getValue().asText()));
        return String.join(" ", pairs);
    }
}
