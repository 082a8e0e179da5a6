package org.verbenatally.ctl;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.verbenatally.config.ConfigReader;
import org.verbenatally.config.Deployment;
import org.verbenatally.core.KindName;

import static org.assertj.core.api.Assertions.assertThat;

class CtlMainTest {
    private static final Path EXAMPLES = Path.of("..", "examples");

    @TempDir
    private Path tempDir;

    private record Result(int status, String out, String err) {}

    /** Guards against generated documents that an entry refuses, and against output that differs between runs. */
    @ParameterizedTest
    @ValueSource(strings = {"abay", "aarhus"})
    void generatesTheSameValidDocumentFromTheExampleAnswers(String name) throws Exception {
        String answers = EXAMPLES.resolve(name + ".answers").toString();
        Result first = run("", "questionnaire", "--answers", answers);
        Result second = run("", "questionnaire", "--answers", answers);
        assertThat(first.err()).isEmpty();
        assertThat(first.status()).isZero();
        assertThat(second.out()).isEqualTo(first.out());
        Deployment generated = ConfigReader.read(name, first.out().getBytes(StandardCharsets.UTF_8));
        Deployment example = ConfigReader.read(name, Files.readAllBytes(EXAMPLES.resolve(name + ".deployment.json")));
        assertThat(generated.targets()).isEqualTo(example.targets());
        assertThat(generated.kinds().keySet()).isEqualTo(example.kinds().keySet());
        example.kinds()
                .values()
                .forEach(kind -> assertThat(generated.kinds().get(kind.name()).repeatable())
                        .isEqualTo(kind.repeatable()));
    }

    /** Guards against generated values whose origin an operator cannot find. */
    @Test
    void namesTheAnswerOfEachGeneratedValue() {
        Result result = run(
                "",
                "questionnaire",
                "--answers",
                EXAMPLES.resolve("abay.answers").toString());
        assertThat(result.out().lines().filter(line -> line.contains("\": ") && !line.matches(".*[\\[{]$")))
                .allMatch(line -> line.contains("// answer: "));
    }

    /** Guards against contradictory answers that are accepted and result in a harmful configuration. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '\'', textBlock = """
            "ifDoubled": "lot"        | "ifDoubled": "lot", "mayRetry": true        | mayRetry must be false
            "ifDoubled": "lot"        | "ifDoubled": "lot", "shownAsItGrows": true  | shownAsItGrows must be false
            "servedBy": "engine"      | "servedBy": "service"                       | model must be absent
            "longestTokens": 32768    | "longestTokens": 8                          | must not be above longestTokens
            "ifDoubled": "nothing"    | "ifDoubled": "lot"                          | servedBy must be service
            "usualWork": "guide"      | "usualWork": "order-booking"                | whose servedBy is not engine
            """)
    void refusesContradictionsAndNamesBothAnswers(String answer, String changed, String expected) throws Exception {
        String answers = Files.readString(EXAMPLES.resolve("abay.answers"));
        assertThat(answers).contains(answer);
        Path file = tempDir.resolve("changed.answers");
        Files.writeString(file, answers.replace(answer, changed));
        Result result = run("", "questionnaire", "--answers", file.toString());
        assertThat(result.status()).isEqualTo(ExitStatus.REFUSED);
        assertThat(result.err()).contains(expected);
        assertThat(result.out()).isEmpty();
    }

    /** Guards against a questionnaire in the terminal that loses answers or accepts an invalid value. */
    @Test
    void asksInTheTerminalAndAppliesDefaults() throws Exception {
        String header = "small\n\n\n\n";
        String caller = "one\n" + "a".repeat(64) + "\nhuge\nlarge\n\n\n\nno\n";
        String work = "booking\nservice\n\n\nat-once\nlittle\nlot\nlot\n\n\n20\n\n\n\nno\n";
        String target = "service-1\nservice\n127.0.0.1\n9200\nhere\nno\n\n\nno\n";
        Path saved = tempDir.resolve("saved.answers");
        Result result = run(header + caller + work + target, "questionnaire", "--save", saved.toString());
        assertThat(result.err()).contains("enum [\"large\",\"small\"]");
        assertThat(result.status()).isZero();
        Deployment deployment = ConfigReader.read("small", result.out().getBytes(StandardCharsets.UTF_8));
        assertThat(deployment.kinds().get(new KindName("booking")).repeatable()).isFalse();
        Result fromSavedAnswers = run("", "questionnaire", "--answers", saved.toString());
        assertThat(fromSavedAnswers.out()).isEqualTo(result.out());
    }

    /** Guards against a change that harms callers and passes review unnoticed for lack of a warning. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '\'', textBlock = """
            "version": 1,             | "version": 1,                  | does not follow
            "id": "engine-8"          | "id": "engine-9"               | removed without having been marked
            "share": 6                | "share": 3                     | share falls to half or less
            "model": "glassguide-14b" | "model": "glassguide-20b"      | no target serves model glassguide-14b
            "repeatable": false       | "repeatable": true             | becomes repeatable
            "deadlineMs": 20000       | "deadlineMs": 10000            | the deadline falls
            """)
    void warnsOfHarmfulChanges(String old, String changed, String expected) throws Exception {
        Path before = EXAMPLES.resolve("abay.deployment.json");
        Path after = tempDir.resolve("after.json");
        String text = Files.readString(before);
        assertThat(text).contains(old);
        Files.writeString(after, text.replace(old, changed));
        Result result = run("", "diff", before.toString(), after.toString());
        assertThat(result.out()).contains("WARNING").contains(expected);
        assertThat(result.status()).isEqualTo(ExitStatus.REFUSED);
    }

    /** Guards against a stack trace in place of a one-line message when an operator makes a mistake. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '"', textBlock = """
            nonsense                | 2 | no command 'nonsense'
            check                   | 2 | needs one file
            check missing.json      | 3 | no file missing.json
            check --wrong           | 2 | --wrong
            diff one                | 2 | needs two files
            status nowhere          | 2 | address must be host:port
            """)
    void reportsMistakesInOneLine(String arguments, int status, String message) {
        Result result = run("", arguments.split(" "));
        assertThat(result.status()).isEqualTo(status);
        assertThat(result.err()).contains(message).doesNotContain("Exception");
    }

    /** Guards against a check that reports only the first fault of a document. */
    @Test
    void checkListsEveryFaultWithItsLine() throws IOException {
        Path file = tempDir.resolve("bad.json");
        String text = Files.readString(EXAMPLES.resolve("abay.deployment.json"));
        Files.writeString(file, text.replace("\"share\": 6", "\"share\": -6").replace("\"entryCount\"", "\"entries\""));
        Result result = run("", "check", file.toString());
        assertThat(result.status()).isEqualTo(ExitStatus.REFUSED);
        assertThat(result.err())
                .contains("/organisations/0/share")
                .contains("/entries")
                .contains("line ");
    }

    private static Result run(String input, String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        Console console = new Console(
                new BufferedReader(new StringReader(input)),
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8));
        int status = CtlMain.run(args, console);
        return new Result(status, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }
}
