package org.verbenatally.forward;

import java.net.http.HttpRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.verbenatally.forward.ForwardFixture.ENGINES;

/** Generations with a part in their prompts that crashes each engine which begins to write an answer. */
class CrashingPartTest {
    private static final String CRASHING = "bad";
    /** Number of crashes after which requests with the part are sent to no more engines. */
    private static final int MAX_CRASHES = 5;

    private static final int OK = 200;

    private final List<RawTarget> engines = new ArrayList<>();
    private final AtomicInteger crashes = new AtomicInteger();
    private final AtomicInteger ids = new AtomicInteger();
    private ForwardFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = new ForwardFixture();
        fixture.configure(1);
        for (int i = 0; i < 2 * MAX_CRASHES; i++) {
            engines.add(engine());
            fixture.publish("e" + i, ENGINES, engines.get(i));
        }
    }

    @AfterEach
    void stop() throws Exception {
        fixture.close();
        for (RawTarget engine : engines) {
            engine.close();
        }
    }

    /** Returns an engine that writes one event, but stops listening and resets the connection on a crashing part. */
    private RawTarget engine() throws Exception {
        AtomicReference<RawTarget> self = new AtomicReference<>();
        self.set(new RawTarget((head, out, socket) -> {
            String id = RawTarget.header(head, TestCodec.ID);
            RawTarget.write(
                    out,
                    "HTTP/1.1 200 OK\r\nTest-Id: " + id + "\r\nTest-Signed: yes\r\nTransfer-Encoding: chunked\r\n\r\n");
            if (List.of(RawTarget.header(head, TestCodec.PARTS).split(",")).contains(CRASHING)) {
                crashes.incrementAndGet();
                self.get().close();
                RawTarget.reset(socket);
                return false;
            }
            String event = "id: 1\ndata: " + id + "\n\n";
            RawTarget.write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n0\r\n\r\n");
            return true;
        }));
        return self.get();
    }

    /** Sends a request that no other one is equal to; returns the status, or 0 if the connection was closed. */
    private int send(String parts) throws InterruptedException {
        String id = "r" + ids.incrementAndGet();
        HttpRequest request = fixture.request("/stream/x", id)
                .header(TestCodec.PARTS, parts)
                .POST(HttpRequest.BodyPublishers.ofString("body of " + id))
                .build();
        int status = fixture.sendLater(request)
                .handle((response, e) -> e == null ? response.statusCode() : 0)
                .join();
        // The engine is checked after the response.
        Thread.sleep(100);
        return status;
    }

    /** Guards against engines that crash one after the other under requests that have only a part in common. */
    @Test
    void requestsWithCrashingPartAreRefused() throws Exception {
        List<Integer> sound = new ArrayList<>();
        for (int i = 0; i < 2 * MAX_CRASHES; i++) {
            send("common," + CRASHING);
            sound.add(send("common"));
        }
        assertThat(crashes).as("crashes").hasValueLessThanOrEqualTo(MAX_CRASHES);
        assertThat(sound).as("sound requests").containsOnly(OK);
        assertThat(send(CRASHING + ",other")).isEqualTo(CallerExchange.UNAVAILABLE);
    }

    /** Guards against refusing sound requests with a part that only crashing requests had until then. */
    @Test
    void innocentPartIsServedThoughOnlyCrashingRequestsHadIt() throws Exception {
        for (int i = 0; i < MAX_CRASHES; i++) {
            send("twin," + CRASHING);
        }
        assertThat(send("twin")).isEqualTo(OK);
        assertThat(send(CRASHING)).isEqualTo(CallerExchange.UNAVAILABLE);
        assertThat(send("twin")).isEqualTo(OK);
    }
}
