package org.verbenatally.core;

import java.util.concurrent.atomic.AtomicInteger;

import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class ProgramTest {
    private final Program program =
            new Program("test", "FILE", "Tests.", new Options().addOption("x", "number", true, ""), ProgramTest.class);

    /** Guards against a program that runs although it was asked for help, or was given invalid options. */
    @ParameterizedTest
    @CsvSource({"--help, 0", "-v, 0", "--unknown, 2", "--number, 2"})
    void doesNotRunForHelpVersionOrInvalidOptions(String argument, int status) throws Exception {
        AtomicInteger runs = new AtomicInteger();
        assertThat(program.run(new String[] {argument}, line -> runs.incrementAndGet()))
                .isEqualTo(status);
        assertThat(runs).hasValue(0);
    }

    /** Guards against a stack trace in place of a message that names the malformed argument. */
    @Test
    void reportsMalformedArgumentsAsUsageErrors() throws Exception {
        assertThat(program.run(new String[] {"-x", "one"}, line -> Integer.parseInt(line.getOptionValue("x"))))
                .isEqualTo(Program.USAGE);
        assertThat(program.run(new String[] {}, line -> {
                    throw new ParseException("FILE is missing");
                }))
                .isEqualTo(Program.USAGE);
        assertThat(program.run(new String[] {"-x", "1"}, line -> Program.FAILED))
                .isEqualTo(Program.FAILED);
    }
}
