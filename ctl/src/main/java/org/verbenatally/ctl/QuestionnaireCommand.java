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

/** Generates a deployment document from answers that are asked for in the terminal or read from a file. */
final class QuestionnaireCommand implements Command {

    @Override
    public String name() {
        return "questionnaire";
    }

    @Override
    public String summary() {
        return "Asks about callers, work and harms and generates the deployment document.";
    }

    @Override
    public String usage() {
        return "[--answers FILE] [--save FILE] [--output FILE]\n"
                + "example: verbenatally-ctl questionnaire --answers examples/abay.answers --output abay.json";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(file("answers", "read the answers from FILE instead of asking"))
                .addOption(file("save", "write the answers that were given to FILE, for version control"))
                .addOption(file("output", "write the deployment document to FILE instead of standard output"));
    }

    private static Option file(String name, String description) {
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
                : new Interview(console).ask().getBytes(StandardCharsets.UTF_8);
        // Saved before they are judged: a contradiction must not cost the operator all answers.
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
