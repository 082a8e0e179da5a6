package org.verbenatally.ctl;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.verbenatally.config.ConfigException;
import org.verbenatally.config.ConfigReader;
import org.verbenatally.config.Deployment;

/** Describes the changes between two deployment documents and warns of those that can harm callers. */
final class DiffCommand implements Command {

    @Override
    public String name() {
        return "diff";
    }

    @Override
    public String summary() {
        return "Describes what a new deployment document changes and warns of changes that can harm callers.";
    }

    @Override
    public String usage() {
        return "OLD NEW\nexample: verbenatally-ctl diff abay.7.json abay.8.json\nExits with 1 if there is a warning.";
    }

    @Override
    public Options options() {
        return new Options();
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException, ConfigException, IOException {
        if (line.getArgs().length != 2) {
            throw new UsageException("needs two files, the old and the new one");
        }
        Deployment before = read(line.getArgs()[0]);
        Deployment after = read(line.getArgs()[1]);
        DeploymentDiff diff = DeploymentDiff.between(before, after);
        print(console, "", diff.changes());
        print(console, "WARNING: ", diff.warnings());
        if (diff.changes().isEmpty() && diff.warnings().isEmpty()) {
            console.out().println("no change");
        }
        return diff.warnings().isEmpty() ? ExitStatus.OK : ExitStatus.REFUSED;
    }

    private static Deployment read(String file) throws ConfigException, IOException {
        return ConfigReader.read(file, Files.readAllBytes(Path.of(file)));
    }

    private static void print(Console console, String prefix, List<String> lines) {
        lines.forEach(text -> console.out().println(prefix + text));
    }
}
