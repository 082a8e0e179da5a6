package org.verbenatally.peer;

import java.nio.charset.StandardCharsets;
import java.util.List;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.verbenatally.wire.DeltaPart;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class DocumentDeltaTest {
    @Provide
    Arbitrary<String> documents() {
        return Arbitraries.of("a\n", "b\n", "c\n", "\n", "d")
                .list()
                .ofMaxSize(12)
                .map(l -> String.join("", l));
    }

    /** Guards against a document in force that differs from the published one. */
    @Property(seed = "13", tries = 500)
    void deltaRestoresTheDocument(@ForAll("documents") String base, @ForAll("documents") String document) {
        byte[] from = base.getBytes(StandardCharsets.UTF_8);
        byte[] to = document.getBytes(StandardCharsets.UTF_8);
        assertThat(DocumentDelta.apply(from, DocumentDelta.between(from, to), 1_000))
                .isEqualTo(to);
    }

    /** Guards against a faulty peer that makes a member read beyond its document or exhausts its memory. */
    @Test
    void rejectsPartsOutsideTheBaseAndLongResults() {
        byte[] base = "a\nb\n".getBytes(StandardCharsets.UTF_8);
        for (int[] p : new int[][] {{-1, 1}, {0, 3}, {2, 1}, {0, 0}, {1, Integer.MAX_VALUE}}) {
            var part = new DeltaPart().setFirstLine(p[0]).setLines(p[1]);
            assertThatIllegalArgumentException().isThrownBy(() -> DocumentDelta.apply(base, List.of(part), 100));
        }
        var allLines = new DeltaPart().setFirstLine(0).setLines(2);
        assertThatIllegalArgumentException()
                .isThrownBy(() -> DocumentDelta.apply(base, List.of(allLines, allLines, allLines), 10));
    }
}
