package org.verbenatally.ctl;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class ExplainLogsTest {
    private static final String FIRST_LOG = """
            {"time":"2026-03-05T08:25:10.000Z","event":"target.leaving","target":"e1","reason":"draining"}
            {"time":"2026-03-05T08:25:09.500Z","event":"request.sent","request":"r1","target":"e1"}
            {"time":"2026-03-05T08:25:09.600Z","event":"request.sent","request":"r2","target":"e1"}
            {"time":"2026-03-05T08:25:09.700Z","message":"peer: a line without an event"}
            no JSON at all
            {"time":"2026-03-05T08:25:11.000Z","event":"request.ended","request":"r1","outco
            {"time":"2026-03-05T08:25:12.000Z","event":"request.ended","request":"r1","outcome":"lost"}
            """;
    private static final String SECOND_LOG = """
            {"time":"2026-03-05T08:25:09.900Z","event":"target.leaving","target":"e2","reason":"draining"}
            {"time":"2026-03-05T08:25:09.950Z","event":"target.leaving","target":"e1","reason":"draining"}
            {"time":"2026-03-05T08:25:08.000Z","event":"config.inForce","version":7}
            """;

    @TempDir
    private Path tempDir;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    private int explain(String input, String... arguments) {
        var console = new Console(
                new BufferedReader(new StringReader(input)),
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8));
        String[] allArguments = new String[arguments.length + 2];
        allArguments[0] = "explain";
        allArguments[1] = "--logs";
        System.arraycopy(arguments, 0, allArguments, 2, arguments.length);
        return CtlMain.run(allArguments, console);
    }

    private String file(String name, String text) throws Exception {
        return Files.writeString(tempDir.resolve(name), text).toString();
    }

    /** Guards against a trace that lacks the events of other instances or contains the lines of other requests. */
    @Test
    void mergesTheLinesOfAllInstances() throws Exception {
        assertThat(explain("", "r1", file("one.log", FIRST_LOG), file("two.log", SECOND_LOG)))
                .isEqualTo(ExitStatus.OK);
        String[] lines = out.toString(StandardCharsets.UTF_8).split("\n");
        assertThat(lines).hasSize(4);
        assertThat(lines[0]).contains("one", "request.sent", "target e1");
        assertThat(lines[1]).contains("two", "*", "target.leaving", "+0.450");
        assertThat(lines[2]).contains("one", "*", "target.leaving");
        assertThat(lines[3]).contains("request.ended", "outcome lost", "+2.500");
    }

    /** Guards against attributing all lines of standard input to one instance when each line names its instance. */
    @Test
    void readsStandardInputWithInstanceNamesBeforeTheLines() {
        String prefixed = FIRST_LOG.replaceAll("(?m)^\\{", " 12.5 front-1 {");
        assertThat(explain(prefixed, "r2", "-")).isEqualTo(ExitStatus.OK);
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("front-1").contains("request.sent");
    }

    /** Guards against an unknown request that gives no output and the exit status of success. */
    @Test
    void reportsAnUnknownRequest() {
        assertThat(explain(FIRST_LOG, "r9", "-")).isEqualTo(ExitStatus.REFUSED);
    }
}
