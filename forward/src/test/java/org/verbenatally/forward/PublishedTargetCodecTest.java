package org.verbenatally.forward;

import org.junit.jupiter.api.Test;
import org.verbenatally.core.SourceRevision;
import org.verbenatally.core.TargetId;
import org.verbenatally.wire.PublishedTarget;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class PublishedTargetCodecTest {
    /** Guards against a record with an invalid epoch that is stored, and fails the comparison with each later one. */
    @Test
    void negativeEpochIsRefused() {
        PublishedTarget published = new PublishedTarget("a", 1).setEpoch(-1);
        assertThatIllegalArgumentException()
                .isThrownBy(() -> PublishedTargetCodec.validate(published))
                .withMessageContaining("epoch");
    }

    /** Guards against instances of before the epoch that refuse, or misread, the records of a source without one. */
    @Test
    void recordOfSourceWithoutEpochStatesNone() {
        PublishedTarget published = PublishedTargetCodec.encodeRemoval(new TargetId("a"), new SourceRevision(0, 5));
        assertThat(published.isSetEpoch()).isFalse();
        assertThat(PublishedTargetCodec.revision(published)).isEqualTo(new SourceRevision(0, 5));
    }
}
