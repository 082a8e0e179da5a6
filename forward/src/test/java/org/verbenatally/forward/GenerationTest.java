package org.verbenatally.forward;

import java.util.OptionalLong;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class GenerationTest {

    /** Guards against an engine that looks empty because the tokens of its generations overflow. */
    @Test
    void hugeNumbersOfTokensDoNotOverflow() {
        Generation generation = new Generation(Long.MAX_VALUE, Long.MAX_VALUE, OptionalLong.of(Long.MAX_VALUE));
        assertThat(generation.expectedMemory(0)).isPositive();
        assertThat(generation.expectedMemory(0) * 1_000).isPositive();
    }
}
