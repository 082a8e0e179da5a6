package org.verbenatally.ctl;

import java.io.IOException;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.verbenatally.config.ConfigException;

/** One subcommand of {@code verbenatally-ctl}. */
interface Command {

    /** Returns its name on the command line. */
    String name();

    /** Returns one line on what it does. */
    String summary();

    /** Returns its arguments and an example, as the help shows them. */
    String usage();

    /** Returns its options, without those that all commands share. */
    Options options();

    /**
     * Runs the command.
     *
     * @return the exit status
     * @throws UsageException if the arguments are wrong
     * @throws ConfigException if a document is not accepted
     * @throws IOException if a file or an instance cannot be read
     */
    int run(CommandLine line, Console console) throws UsageException, ConfigException, IOException;
}
