package org.verbenatally.ctl;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.verbenatally.config.ConfigException;
import org.verbenatally.config.ConfigReader;
import org.verbenatally.config.Deployment;
import org.verbenatally.config.SettingsReader;

/** Checks a deployment document or the settings of an entry process. */
final class CheckCommand implements Command {

    @Override
    public String name() {
        return "check";
    }

    @Override
    public String summary() {
        return "Checks a deployment document or entry settings and lists every fault with its location.";
    }

    @Override
    public String usage() {
        return "[--settings] FILE\nexample: verbenatally-ctl check examples/abay.deployment.json";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(Option.builder()
                        .longOpt("settings")
                        .desc("FILE contains entry settings")
                        .get());
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException, ConfigException, IOException {
        if (line.getArgs().length != 1) {
            throw new UsageException("needs one file");
        }
        Path file = Path.of(line.getArgs()[0]);
        if (line.hasOption("settings")) {
            SettingsReader.read(file);
            console.out().println(file + ": accepted");
            return ExitStatus.OK;
        }
        Deployment deployment = ConfigReader.read(file.toString(), Files.readAllBytes(file));
        console.out()
                .printf(
                        "%s: accepted: deployment %s version %s, %d organisations, %d kinds, %d targets%n",
                        file,
                        deployment.name(),
                        deployment.version(),
                        deployment.organisations().size(),
                        deployment.kinds().size(),
                        deployment.targets().size());
        return ExitStatus.OK;
    }
}
