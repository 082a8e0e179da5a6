package org.verbenatally.entry.caller;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.verbenatally.core.GenerationId;
import org.verbenatally.core.KindName;
import org.verbenatally.core.OrganisationId;
import org.verbenatally.core.TargetId;

import static org.assertj.core.api.Assertions.assertThat;

class StreamTokensTest {
    private static final String OLD = "old-secret-old-secret-old-secret-old";
    private static final String NEW = "new-secret-new-secret-new-secret-new";
    private static final StreamTokens.Claims CLAIMS = new StreamTokens.Claims(
            new TargetId("engine-1"),
            new GenerationId("00112233445566778899aabbccddeeff"),
            new OrganisationId("tana"),
            new KindName("guide"));

    /** Guards against streams that break when the secrets are replaced. */
    @Test
    void tokenOfAnOlderSecretIsReadUntilTheSecretIsRemoved() {
        String token = new StreamTokens(List.of(OLD)).write(CLAIMS);

        assertThat(new StreamTokens(List.of(NEW, OLD)).read(token)).contains(CLAIMS);
        assertThat(new StreamTokens(List.of(NEW)).read(token)).isEmpty();
    }

    /** Guards against access to another organisation's stream by a changed token. */
    @Property(tries = 500, seed = "20261204")
    void changedTokenIsNotRead(
            @ForAll @IntRange(max = 75) int position, @ForAll @IntRange(min = 1, max = 63) int change) {
        StreamTokens tokens = new StreamTokens(List.of(NEW));
        String token = tokens.write(CLAIMS);
        String alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
        // The last character also carries unused bits, which do not change what it encodes.
        int at = position % (token.length() - 1);
        char other = alphabet.charAt((alphabet.indexOf(token.charAt(at)) + change) % alphabet.length());

        assertThat(tokens.read(token.substring(0, at) + other + token.substring(at + 1)))
                .isEmpty();
    }

    /** Guards against an error that stops the handling of a request with a malformed token. */
    @Property(tries = 300, seed = "20261204")
    void anyTextIsRefusedWithoutAnError(@ForAll String text) {
        assertThat(new StreamTokens(List.of(NEW)).read(text)).isEmpty();
    }
}
