package org.verbenatally.ctl;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Shows what happened to a request, read from log files of instances or from the traces that entries keep. */
final class ExplainCommand implements Command {

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String summary() {
        return "Shows step by step what happened to a request.";
    }

    @Override
    public String usage() {
        return "--logs REQUEST-ID FILE...\n"
                + "       explain [--json] REQUEST-ID HOST:PORT...\n"
                + "example: verbenatally-ctl explain --logs 7f3c bole-1.log bole-2.log\n"
                + "         cat *.log | verbenatally-ctl explain --logs 7f3c -\n"
                + "         verbenatally-ctl explain 7f3c 127.0.0.1:9001 127.0.0.1:9002\n"
                + "With --logs, lines marked * are events of the targets and instances of the request at that time.\n"
                + "Entries remember recent requests only. Exits with 1 if the request is not known.";
    }

    @Override
    public Options options() {
        return EntryResponses.options("print one JSON array")
                .addOption(Option.builder()
                        .longOpt("logs")
                        .desc("read log files, or standard input (-), instead of querying entries")
                        .get());
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException, IOException {
        List<String> arguments = line.getArgList();
        if (arguments.isEmpty()) {
            throw new UsageException("needs a request id");
        }
        if (line.hasOption("logs")) {
            return explainLogs(arguments.getFirst(), arguments.subList(1, arguments.size()), console);
        }
        String id = URLEncoder.encode(arguments.getFirst(), StandardCharsets.UTF_8);
        EntryResponses entries =
                EntryResponses.query(arguments.subList(1, arguments.size()), "/operator/explain/" + id);
        if (line.hasOption("json")) {
            entries.printJson(console);
        } else {
            entries.responses().forEach(trace -> print(console, trace));
        }
        entries.printFailures(console);
        if (entries.responses().isEmpty()) {
            console.err().println("no entry remembers request " + arguments.getFirst());
        }
        return entries.responses().isEmpty() ? ExitStatus.REFUSED : ExitStatus.OK;
    }

    private static int explainLogs(String request, List<String> files, Console console)
            throws UsageException, IOException {
        if (files.isEmpty()) {
            throw new UsageException("needs at least one log file");
        }
        LogTrace trace = LogTrace.read(request, files, console.in());
        if (!trace.isKnown()) {
            console.err().println("no line is about request " + request);
            return ExitStatus.REFUSED;
        }
        trace.print(console);
        return ExitStatus.OK;
    }

    private static void print(Console console, JsonNode trace) {
        console.out()
                .printf(
                        "request %s  organisation %s  kind %s%n",
                        trace.path("request").asText(),
                        trace.path("organisation").asText(),
                        trace.path("kind").asText());
        trace.path("steps")
                .forEach(step -> console.out()
                        .printf(
                                "  %8d ms  %s%n",
                                step.path("atMs").asLong(), step.path("text").asText()));
    }
}
