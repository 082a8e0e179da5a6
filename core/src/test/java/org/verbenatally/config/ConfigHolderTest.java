package org.verbenatally.config;

import java.util.List;
import java.util.Map;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.verbenatally.config.ConfigHolder.ConfigDocumentInForce;
import org.verbenatally.core.ConfigVersion;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigHolderTest {

    /** Guards against a stale copy from the platform replacing a newer configuration. */
    @Property(seed = "7")
    void keepsTheHighestVersionInAnyOrderOfArrival(
            @ForAll @Size(min = 1, max = 20) List<@IntRange(min = 1, max = 9) Integer> versions,
            @ForAll @Size(20) List<Byte> digests) {
        ConfigHolder<Deployment> holder = new ConfigHolder<>();
        long highest = 0;
        for (int i = 0; i < versions.size(); i++) {
            long before = holder.deployment().map(d -> d.version().value()).orElse(0L);
            holder.offer(document(versions.get(i), digests.get(i)));
            long after = holder.deployment().orElseThrow().version().value();
            assertThat(after).isGreaterThanOrEqualTo(before);
            highest = Math.max(highest, versions.get(i));
        }
        assertThat(holder.deployment().orElseThrow().version().value()).isEqualTo(highest);
    }

    /** Guards against entries that settle on different documents when two operators publish the same version. */
    @Test
    void equalVersionsConvergeOnTheHigherDigest() {
        ConfigHolder<Deployment> first = new ConfigHolder<>();
        ConfigHolder<Deployment> second = new ConfigHolder<>();
        assertThat(first.offer(document(3, (byte) 1))).isTrue();
        assertThat(first.offer(document(3, (byte) -1))).isTrue();
        assertThat(second.offer(document(3, (byte) -1))).isTrue();
        assertThat(second.offer(document(3, (byte) 1))).isFalse();
        assertThat(first.document().orElseThrow().digest())
                .isEqualTo(second.document().orElseThrow().digest());
    }

    private static ConfigDocumentInForce<Deployment> document(long version, byte digest) {
        Deployment deployment = new Deployment(
                "abay",
                new ConfigVersion(version),
                8,
                new Deployment.Limits(1024, 8),
                new Deployment.Levels(480, 54, 0.95),
                Map.of(),
                Map.of(),
                Map.of(),
                6);
        return new ConfigDocumentInForce<>(deployment, new byte[] {digest}, new byte[0]);
    }
}
