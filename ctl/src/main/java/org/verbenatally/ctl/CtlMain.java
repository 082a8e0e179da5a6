package org.verbenatally.ctl;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.NoSuchFileException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.verbenatally.config.ConfigException;

/** Entry point of {@code verbenatally-ctl}. */
public final class CtlMain {
    private static final String VERSION = "0.1.0";
    private static final List<Command> COMMANDS = List.of(
            new QuestionnaireCommand(),
            new CheckCommand(),
            new DiffCommand(),
            new StatusCommand(),
            new ExplainCommand(),
            new BurnCommand());

    private CtlMain() {}

    /** Runs the subcommand and exits with its status. */
    public static void main(String[] args) {
        Console console = new Console(
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8)), System.out, System.err);
        System.exit(run(args, console));
    }

    /** Runs the subcommand that the first argument names and returns its exit status. */
    static int run(String[] args, Console console) {
        if (args.length == 0 || args[0].equals("--help") || args[0].equals("-h")) {
            console.out().print(help());
            return args.length == 0 ? ExitStatus.USAGE : ExitStatus.OK;
        }
        if (args[0].equals("--version")) {
            console.out().println("verbenatally-ctl " + VERSION);
            return ExitStatus.OK;
        }
        Optional<Command> command =
                COMMANDS.stream().filter(c -> c.name().equals(args[0])).findFirst();
        if (command.isEmpty()) {
            console.err().println("verbenatally-ctl: no command '" + args[0] + "'; see --help");
            return ExitStatus.USAGE;
        }
        return run(command.get(), Arrays.copyOfRange(args, 1, args.length), console);
    }

    private static int run(Command command, String[] args, Console console) {
        Options options = command.options();
        options.addOption(
                Option.builder("h").longOpt("help").desc("print this help").get());
        try {
            var line = new DefaultParser().parse(options, args);
            if (line.hasOption("help")) {
                console.out().print(help(command, options));
                return ExitStatus.OK;
            }
            return command.run(line, console);
        } catch (ParseException | UsageException e) {
            console.err().println("verbenatally-ctl " + command.name() + ": " + e.getMessage() + "; see --help");
            return ExitStatus.USAGE;
        } catch (ConfigException e) {
            console.err().println(e.source() + ": refused");
            e.faults().forEach(fault -> console.err().println("  " + fault));
            return ExitStatus.REFUSED;
        } catch (NoSuchFileException e) {
            console.err().println("verbenatally-ctl " + command.name() + ": no file " + e.getMessage());
            return ExitStatus.UNAVAILABLE;
        } catch (IOException e) {
            console.err().println("verbenatally-ctl " + command.name() + ": " + e.getMessage());
            return ExitStatus.UNAVAILABLE;
        }
    }

    private static String help() {
        StringBuilder text = new StringBuilder("usage: verbenatally-ctl COMMAND [OPTIONS]\n\n");
        for (Command command : COMMANDS) {
            text.append("  %-14s %s%n".formatted(command.name(), command.summary()));
        }
        return text.append("\n'verbenatally-ctl COMMAND --help' lists the options of a command.\n")
                .append("Exit status: 0 success, 1 refused or needs attention, 2 wrong usage, 3 unavailable.\n")
                .toString();
    }

    private static String help(Command command, Options options) {
        StringBuilder text = new StringBuilder("%s%n%nusage: verbenatally-ctl %s %s%n%n"
                .formatted(command.summary(), command.name(), command.usage()));
        for (Option option : options.getOptions()) {
            String name = "--" + option.getLongOpt() + (option.hasArg() ? " " + option.getArgName() : "");
            text.append("  %-20s %s%n".formatted(name, option.getDescription()));
        }
        return text.toString();
    }
}
