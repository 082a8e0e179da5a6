package org.verbenatally.http;

import java.nio.charset.StandardCharsets;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class FieldNameCheckerTest {
    private static final String TOKEN_MARKS = "!#$%&'*+-.^_`|~";

    private final FieldNameChecker checker = new FieldNameChecker();

    private boolean rejects(String bytes) {
        checker.onRequest();
        read(bytes);
        return checker.isMalformed();
    }

    private void read(String bytes) {
        for (byte each : bytes.getBytes(StandardCharsets.ISO_8859_1)) {
            if (!checker.process(each)) {
                return;
            }
        }
    }

    /** Guards against a byte in a name that is taken for a part of it, or for its end. */
    @Property
    void onlyBytesOfTokensAreAccepted(@ForAll @IntRange(max = 255) int value) {
        boolean inToken = value < 128 && Character.isLetterOrDigit(value) || TOKEN_MARKS.indexOf(value) >= 0;
        // A colon ends the name.
        assertThat(new FieldNameCheckerTest().rejects("HTTP/1.1 200 OK\r\nA" + (char) value + "B: v\r\n\r\n"))
                .isEqualTo(!inToken && value != ':');
    }

    /** Guards against failures in the place of heads that are sound. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\n\r\nno head: x",
                "HTTP/1.1 200\r\nA: b\r\n\r\n",
                "HTTP/1.1 200 \r\nA:\r\nB: \t c d:e \t\r\n\r\n",
                "\r\n\r\nHTTP/1.1 200 A reason: with a colon\nA : b\n\n",
                "HTTP/1.1 100 C\r\n\r\nHTTP/1.1 103 Early\r\nLink: <x y>\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n\r\n y",
                "HTTP/1.1 1000 Odd\r\n\r\n x"
            })
    void soundHeadIsAccepted(String bytes) {
        assertThat(rejects(bytes)).isFalse();
    }

    /** Guards against malformed names that are overlooked because of what comes before them. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\n A: b\r\n\r\n",
                "HTTP/1.1 200 OK\r\nA: b\r\n\tC: d\r\n\r\n",
                "HTTP/1.1 200 OK\r\nA: b\r\n \r\n\r\n",
                "HTTP/1.1 200 OK\nA: b\nC D: e\n\n",
                "HTTP/1.1 200 OK\r\nA: b\r\n\rC: d\r\n\r\n",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA B: c\r\n\r\n",
                "HTTP/1.1 102 Processing\r\nA B: c\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"
            })
    void malformedNameIsFound(String bytes) {
        assertThat(rejects(bytes)).isTrue();
    }

    /** Guards against a body, or bytes behind it, that are read as a head, and a next head that is not read. */
    @Test
    void eachRequestHasOneHead() {
        assertThat(rejects("HTTP/1.1 200 OK\r\n\r\n")).isFalse();
        read("A B: c\r\n");
        assertThat(checker.isMalformed()).isFalse();
        assertThat(rejects("HTTP/1.1 200 OK\r\nA B: c\r\n\r\n")).isTrue();
        assertThat(rejects("HTTP/1.1 200 OK\r\n\r\n"))
                .as("the connection is not used again")
                .isTrue();
    }
}
