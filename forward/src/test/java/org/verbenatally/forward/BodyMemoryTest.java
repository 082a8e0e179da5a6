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
        BodyMemory.Reservation reservation = memory.open();
        assertThat(reservation.add(80)).isTrue();
        assertThat(reservation.add(30)).isFalse();
        assertThat(reservation.add(20)).isTrue();
        assertThat(memory.reserved()).isEqualTo(100);
        reservation.close();
        assertThat(memory.reserved()).isZero();
    }

    /** Guards against memory that is returned twice, or reserved after the end of its exchange. */
    @Test
    void reservationIsReturnedOnceAndTakesNothingAfterThat() {
        BodyMemory memory = new BodyMemory(100);
        BodyMemory.Reservation other = memory.open();
        BodyMemory.Reservation reservation = memory.open();
        assertThat(other.add(40)).isTrue();
        assertThat(reservation.resize(60)).isTrue();
        assertThat(reservation.resize(61)).isFalse();
        reservation.close();
        reservation.close();
        assertThat(reservation.add(1)).isFalse();
        assertThat(reservation.resize(1)).isFalse();
        assertThat(memory.reserved()).isEqualTo(40);
    }

    /** Guards against memory that stays reserved for bytes which arrive after the time for their body. */
    @Test
    void bytesAfterTheTimeForTheirBodyTakeNoMemory() throws Exception {
        try (var fixture = new ForwardFixture();
                var target = new RawTarget((head, out, socket) -> {
                    RawTarget.write(
                            out, "HTTP/1.1 200 OK\r\nTest-Id: r\r\nTest-Signed: yes\r\nContent-Length: 0\r\n\r\n");
                    return true;
                });
                var caller = new RawCaller(fixture.callers)) {
            fixture.configure(1);
            fixture.publish("a", ForwardFixture.CALLS, target);
            String head = "POST /once/x HTTP/1.1\r\nHost: " + fixture.callers + "\r\nTest-Id: r\r\n";
            caller.write(head + "Test-Patience: 100\r\nContent-Length: 40000\r\n\r\n" + "x".repeat(10_000));
            assertThat(caller.read("\r\n\r\n")).startsWith("HTTP/1.1 503");
            caller.write("x".repeat(30_000) + head + "Content-Length: 0\r\n\r\n");
            assertThat(caller.read("\r\n\r\n")).startsWith("HTTP/1.1 200");
            assertThat(fixture.awaitGauge("verbenatally_body_bytes", 0)).isZero();
        }
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
