package org.verbenatally.ctl;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.verbenatally.config.AnswersReader;
import org.verbenatally.config.ConfigException;

/** Generates a deployment document from answers that are entered in the terminal or read from a file. */
final class QuestionnaireCommand implements Command {

    @Override
    public String name() {
        return "questionnaire";
    }

    @Override
    public String summary() {
        return "Asks about callers, work and possible harm and generates the deployment document.";
    }

    @Override
    public String usage() {
        return "[--answers FILE] [--save FILE] [--output FILE]\n"
                + "example: verbenatally-ctl questionnaire --answers examples/abay.answers --output abay.json";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(fileOption("answers", "read the answers from FILE instead of asking"))
                .addOption(fileOption("save", "write the given answers to FILE, for version control"))
                .addOption(fileOption("output", "write the deployment document to FILE instead of standard output"));
    }

    private static Option fileOption(String name, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName("FILE")
                .desc(description)
                .get();
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException, ConfigException, IOException {
        String source = line.getOptionValue("answers", "answers");
        byte[] answers = line.hasOption("answers")
                ? Files.readAllBytes(Path.of(source))
                : new InteractiveQuestionnaire(console).ask().getBytes(StandardCharsets.UTF_8);
        // Saved before validation, so that the operator does not lose all answers because of a contradiction.
        if (line.hasOption("save")) {
            Files.write(Path.of(line.getOptionValue("save")), answers);
        }
        String document = DeploymentGenerator.generate(source, AnswersReader.read(source, answers));
        if (line.hasOption("output")) {
            Files.writeString(Path.of(line.getOptionValue("output")), document);
            console.err().println("wrote " + line.getOptionValue("output"));
        } else {
            console.out().print(document);
        }
        return ExitStatus.OK;
    }
}
