package org.verbenatally.ctl;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Reports how fast the error budget of the service levels is used up. */
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
                + "Exits with 1 if a kind burns its budget fast or an entry gave no answer.";
    }

    @Override
    public Options options() {
        return Entries.options("print the reports of the entries as one JSON array")
                .addOption(Option.builder()
                        .longOpt("html")
                        .hasArg()
                        .argName("FILE")
                        .desc("write a self-contained page to FILE")
                        .get());
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException, IOException {
        Entries entries = Entries.ask(line.getArgList(), "/operator/burn");
        BurnReport report = BurnReport.of(entries.answers(), entries.silent());
        if (line.hasOption("json")) {
            entries.printJson(console);
        } else {
            console.out().print(report.text());
        }
        if (line.hasOption("html")) {
            Files.writeString(Path.of(line.getOptionValue("html")), report.html());
            console.err().println("wrote " + line.getOptionValue("html"));
        }
        entries.printSilent(console);
        return report.needsAttention() ? ExitStatus.REFUSED : ExitStatus.OK;
    }
}
