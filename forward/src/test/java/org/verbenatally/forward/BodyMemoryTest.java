package org.verbenatally.forward;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BodyMemoryTest {

    /** Guards against memory that is lost with each refused body, until no request is accepted any more. */
    @Test
    void refusedBytesAreNotReserved() {
        BodyMemory memory = new BodyMemory(100);
        assertThat(memory.reserve(80)).isTrue();
        assertThat(memory.reserve(30)).isFalse();
        assertThat(memory.reserve(20)).isTrue();
        memory.release(100);
        assertThat(memory.reserved()).isZero();
    }
}
