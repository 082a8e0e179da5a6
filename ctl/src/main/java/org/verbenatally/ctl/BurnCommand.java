package org.verbenatally.ctl;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Reports the burn rate of the error budget of the service levels. */
final class BurnCommand implements Command {

    @Override
    public String name() {
        return "burn";
    }

    @Override
    public String summary() {
        return "Reports the burn rate of the error budget by kind and organisation, over all entries.";
    }

    @Override
    public String usage() {
        return "[--json] [--html FILE] HOST:PORT...\nexample: verbenatally-ctl burn 127.0.0.1:9001 127.0.0.1:9002\n"
                + "Exits with 1 if a kind raises a burn-rate alarm or an entry cannot be queried.";
    }

    @Override
    public Options options() {
        return EntryResponses.options("print the reports of the entries as one JSON array")
                .addOption(Option.builder()
                        .longOpt("html")
                        .hasArg()
                        .argName("FILE")
                        .desc("write a self-contained page to FILE")
                        .get());
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException, IOException {
        EntryResponses entries = EntryResponses.query(line.getArgList(), "/operator/burn");
        BurnReport report = BurnReport.of(entries.responses(), entries.failures());
        if (line.hasOption("json")) {
            entries.printJson(console);
        } else {
            console.out().print(report.text());
        }
        if (line.hasOption("html")) {
            Files.writeString(Path.of(line.getOptionValue("html")), report.html());
            console.err().println("wrote " + line.getOptionValue("html"));
        }
        entries.printFailures(console);
        return report.needsAttention() ? ExitStatus.REFUSED : ExitStatus.OK;
    }
}
