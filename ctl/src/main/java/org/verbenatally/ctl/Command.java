package org.verbenatally.ctl;

import java.io.IOException;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.verbenatally.config.ConfigException;

/** One subcommand of {@code verbenatally-ctl}. */
interface Command {

    /** Returns the name of the subcommand on the command line. */
    String name();

    /** Returns a one-line description for the help. */
    String summary();

    /** Returns the arguments and an example, as shown in the help of the command. */
    String usage();

    /** Returns the options of the command, without those that all commands share. */
    Options options();

    /**
     * Runs the command.
     *
     * @param line parsed options and arguments
     * @param console streams to read from and to write to
     * @return the exit status
     * @throws UsageException if the arguments are wrong
     * @throws ConfigException if a document is not accepted
     * @throws IOException if a file or an instance cannot be read
     */
    int run(CommandLine line, Console console) throws UsageException, ConfigException, IOException;
}
