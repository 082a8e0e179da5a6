package org.verbenatally.entry;

import java.io.IOException;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.jboss.logging.Logger;
import org.verbenatally.config.ConfigException;
import org.verbenatally.config.SettingsReader;
import org.verbenatally.core.Logging;
import org.verbenatally.core.Program;
import org.verbenatally.settings.EntrySettings;

/**
 * Main class of the entry process. Exit status: 0 after a graceful shutdown, 1 if the process failed to start, 2 if the
 * arguments or settings are not valid.
 */
public final class EntryMain {
    private static final Logger LOG = Logger.getLogger(EntryMain.class);

    private EntryMain() {}

    /** Runs the process until it is told to stop. */
    public static void main(String[] args) throws Exception {
        new Program("verbenatally-entry", "", "Runs one entry process.", options(), EntryMain.class)
                .start(args, EntryMain::run);
    }

    private static Options options() {
        return new Options()
                .addOption(Option.builder("s")
                        .longOpt("settings")
                        .hasArg()
                        .argName("FILE")
                        .desc("settings of this process (JSON with comments)")
                        .get())
                .addOption("c", "check", false, "check the settings and exit");
    }

    private static int run(CommandLine line) throws ParseException {
        if (!line.hasOption("settings")) {
            throw new ParseException("option --settings FILE is missing");
        }
        return serve(line.getOptionValue("settings"), line.hasOption("check"));
    }

    private static int serve(String file, boolean checkOnly) {
        EntrySettings settings;
        try {
            settings = SettingsReader.read(Path.of(file));
        } catch (ConfigException | IOException | InvalidPathException e) {
            System.err.println("verbenatally-entry: " + file + ": " + e.getMessage());
            return Program.USAGE;
        }
        if (checkOnly) {
            System.out.println("settings are valid");
            return 0;
        }
        Logging.configure(settings.getLog());
        EntryServer server = new EntryServer(settings);
        try {
            EntryServer.Ports ports = server.start();
            System.out.printf(
                    "listening callers=%s:%d operator=%s:%d peers=%s:%d%n",
                    settings.getCallers().getHost(),
                    ports.callers(),
                    settings.getOperator().getHost(),
                    ports.operator(),
                    settings.getPeers().getHost(),
                    ports.peers());
            System.out.flush();
        } catch (RuntimeException e) {
            LOG.errorf(e, "caller: the process could not start");
            server.close();
            return Program.FAILED;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(server), "shutdown"));
        server.closeFuture().join();
        return 0;
    }

    /** Runs the graceful shutdown on SIGTERM. The exit status after it is 0, not that of the signal. */
    private static void stop(EntryServer server) {
        server.drain().join();
        Runtime.getRuntime().halt(0);
    }
}
