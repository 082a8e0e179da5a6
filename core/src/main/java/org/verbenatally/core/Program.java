package org.verbenatally.core;

import java.util.Objects;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;

/**
 * A command-line program. All programs handle the help option, the version option and usage errors in the same way.
 *
 * @param name name of the program
 * @param arguments arguments after the options, as the help shows them; may be empty
 * @param summary one sentence on what the program does
 * @param options options of the program
 * @param main main class, whose package provides the version
 */
public record Program(String name, String arguments, String summary, Options options, Class<?> main) {
    /** Exit status of a program that succeeded. */
    public static final int OK = 0;
    /** Exit status of a program that failed to run, or that found a fault it checks for. */
    public static final int FAILED = 1;
    /** Exit status after invalid arguments or settings. */
    public static final int USAGE = 2;

    /** What a program does once its arguments have been parsed. */
    @FunctionalInterface
    public interface Action {
        /**
         * Runs the program.
         *
         * @return the exit status
         * @throws ParseException if an argument is missing or the arguments contradict each other
         * @throws IllegalArgumentException if an argument is malformed
         * @throws Exception if the program fails in a way that it does not report itself
         */
        int run(CommandLine line) throws Exception;
    }

    /** Adds the options that all programs share. */
    public Program {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(arguments, "arguments");
        Objects.requireNonNull(summary, "summary");
        Objects.requireNonNull(main, "main");
        options.addOption("h", "help", false, "print this help and exit");
        options.addOption("v", "version", false, "print the version and exit");
    }

    /** Runs a program whose other threads may outlive its main thread; exits the process only if the program failed. */
    public void start(String[] args, Action action) throws Exception {
        int status = run(args, action);
        if (status != OK) {
            System.exit(status);
        }
    }

    /** Parses the arguments and runs the program; returns the exit status. */
    public int run(String[] args, Action action) throws Exception {
        try {
            CommandLine line = new DefaultParser().parse(options, args);
            if (line.hasOption("help")) {
                HelpFormatter.builder().get().printHelp((name + " " + arguments).strip(), summary, options, "", true);
                return OK;
            }
            if (line.hasOption("version")) {
                String version = main.getPackage().getImplementationVersion();
                System.out.println(name + " " + (version == null ? "development build" : version));
                return OK;
            }
            return action.run(line);
        } catch (ParseException | IllegalArgumentException e) {
            System.err.println(name + ": " + e.getMessage() + "; see --help");
            return USAGE;
        }
    }
}
