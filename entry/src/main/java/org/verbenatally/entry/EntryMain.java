package org.verbenatally.entry;

import java.io.IOException;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.jboss.logging.Logger;
import org.verbenatally.config.ConfigException;
import org.verbenatally.config.SettingsReader;
import org.verbenatally.core.Logging;
import org.verbenatally.settings.EntrySettings;

/** Main class of the entry process. Exit status: 0 stopped in order, 1 failed to run, 2 wrong usage or settings. */
public final class EntryMain {
    private static final Logger LOG = Logger.getLogger(EntryMain.class);
    private static final int FAILED = 1;
    private static final int USAGE = 2;

    private EntryMain() {}

    /** Runs the process until it has been told to stop. */
    public static void main(String[] args) throws IOException {
        int status = run(args);
        if (status != 0) {
            System.exit(status);
        }
    }

    private static Options options() {
        return new Options()
                .addOption(Option.builder("s")
                        .longOpt("settings")
                        .hasArg()
                        .argName("FILE")
                        .desc("settings of this process (JSON with comments)")
                        .get())
                .addOption("c", "check", false, "check the settings and exit")
                .addOption("h", "help", false, "print this help and exit")
                .addOption("v", "version", false, "print the version and exit");
    }

    private static int run(String[] args) throws IOException {
        CommandLine line;
        try {
            line = new DefaultParser().parse(options(), args);
        } catch (ParseException e) {
            System.err.println("verbenatally-entry: " + e.getMessage());
            return USAGE;
        }
        if (line.hasOption("help")) {
            HelpFormatter.builder()
                    .get()
                    .printHelp("verbenatally-entry --settings FILE", "Runs one entry process.", options(), "", false);
            return 0;
        }
        if (line.hasOption("version")) {
            String version = EntryMain.class.getPackage().getImplementationVersion();
            System.out.println("verbenatally-entry " + (version == null ? "development build" : version));
            return 0;
        }
        if (!line.hasOption("settings")) {
            System.err.println("verbenatally-entry: option --settings FILE is missing");
            return USAGE;
        }
        return serve(line.getOptionValue("settings"), line.hasOption("check"));
    }

    private static int serve(String file, boolean checkOnly) {
        EntrySettings settings;
        try {
            settings = SettingsReader.read(Path.of(file));
        } catch (ConfigException | IOException | InvalidPathException e) {
            System.err.println("verbenatally-entry: " + file + ": " + e.getMessage());
            return USAGE;
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
            return FAILED;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(server), "shutdown"));
        server.drained().join();
        return 0;
    }

    /** Runs the graceful shutdown on SIGTERM; the exit status of a stop in order is 0, not that of the signal. */
    private static void stop(EntryServer server) {
        server.drain().join();
        Runtime.getRuntime().halt(0);
    }
}
