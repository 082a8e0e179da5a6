package org.verbenatally.forward;

import java.time.Duration;
import java.util.concurrent.Semaphore;

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

    /** Guards against buffered responses that together take more than the heap. */
    @Test
    void responseIsPassedOnAsItArrivesWithoutMemoryToBufferIt() throws Exception {
        Semaphore firstHalfRead = new Semaphore(0);
        try (var fixture = new ForwardFixture(
                        Duration.ofSeconds(10), Duration.ofMinutes(2), new TestCodec(), new BodyMemory(1));
                var target = new RawTarget((head, out, socket) -> {
                    RawTarget.write(
                            out,
                            "HTTP/1.1 200 OK\r\nTest-Id: " + RawTarget.header(head, TestCodec.ID)
                                    + "\r\nTest-Signed: yes\r\nContent-Length: 8\r\n\r\nhalf");
                    firstHalfRead.acquire();
                    RawTarget.write(out, "half");
                    return true;
                })) {
            fixture.configure(1);
            fixture.publish("a", ForwardFixture.CALLS, target);
            var response = fixture.open(fixture.request("/once/x", "r1").build());
            assertThat(response.body().readNBytes(4)).hasSize(4);
            firstHalfRead.release();
            assertThat(response.body().readAllBytes()).hasSize(4);
        }
    }
}
