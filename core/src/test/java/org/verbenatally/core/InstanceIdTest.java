package org.verbenatally.core;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/** Tests the syntax and the equality that all string ids share. */
class InstanceIdTest {
    @ParameterizedTest
    @ValueSource(strings = {"a", "Z", "0", "front-bole_1.x:8", "-"})
    void acceptsLettersDigitsAndFourPunctuationCharacters(String value) {
        assertThat(new InstanceId(value).value()).isEqualTo(value);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "a b", "a/b", "@", "[", "`", "{", "é", "a\n", "\u0661"})
    void rejectsOtherCharactersAndEmptyIds(String value) {
        assertThatIllegalArgumentException().isThrownBy(() -> new InstanceId(value));
    }

    @Test
    void rejectsMoreThan128Characters() {
        assertThat(new InstanceId("x".repeat(128)).value()).hasSize(128);
        assertThatIllegalArgumentException().isThrownBy(() -> new InstanceId("x".repeat(129)));
    }

    @Test
    void equalsByValueAndType() {
        var id = new InstanceId("a");
        assertThat(id).isEqualTo(new InstanceId("a")).hasSameHashCodeAs(new InstanceId("a"));
        assertThat(id).isNotEqualTo(new InstanceId("b")).isNotEqualTo(new TargetId("a"));
    }
}
