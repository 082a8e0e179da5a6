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
    private static final String OLD_SECRET = "old-secret-old-secret-old-secret-old";
    private static final String NEW_SECRET = "new-secret-new-secret-new-secret-new";
    private static final StreamTokens.Claims CLAIMS = new StreamTokens.Claims(
            new TargetId("engine-1"),
            new GenerationId("00112233445566778899aabbccddeeff"),
            new OrganisationId("tana"),
            new KindName("guide"));

    /** Guards against streams that cannot be resumed after the secrets were rotated. */
    @Test
    void tokenOfOlderSecretIsAcceptedUntilTheSecretIsRemoved() {
        String token = new StreamTokens(List.of(OLD_SECRET)).sign(CLAIMS);

        assertThat(new StreamTokens(List.of(NEW_SECRET, OLD_SECRET)).verify(token))
                .contains(CLAIMS);
        assertThat(new StreamTokens(List.of(NEW_SECRET)).verify(token)).isEmpty();
    }

    /** Guards against access to another organisation's stream with a modified token. */
    @Property(tries = 500, seed = "20261204")
    void changedTokenIsRejected(
            @ForAll @IntRange(max = 75) int position, @ForAll @IntRange(min = 1, max = 63) int change) {
        StreamTokens tokens = new StreamTokens(List.of(NEW_SECRET));
        String token = tokens.sign(CLAIMS);
        String alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
        // The last character is not changed, because some of its bits are unused and do not affect the decoded bytes.
        int changedIndex = position % (token.length() - 1);
        char replacement = alphabet.charAt((alphabet.indexOf(token.charAt(changedIndex)) + change) % alphabet.length());

        assertThat(tokens.verify(token.substring(0, changedIndex) + replacement + token.substring(changedIndex + 1)))
                .isEmpty();
    }

    /** Guards against an exception instead of a rejection for a malformed token. */
    @Property(tries = 300, seed = "20261204")
    void anyTextIsRejectedWithoutException(@ForAll String text) {
        assertThat(new StreamTokens(List.of(NEW_SECRET)).verify(text)).isEmpty();
    }
}
