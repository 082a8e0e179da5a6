package org.verbenatally.forward;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.verbenatally.core.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;
import static org.verbenatally.forward.ForwardFixture.CALLS;
import static org.verbenatally.forward.ForwardFixture.ENGINES;

/** Targets that send a second copy of a response, late, on a connection that is in use again. */
class DuplicateResponseTest {
    private static final int CALLERS = 8;
    private static final int ROUNDS = 25;
    private static final String REFUSED_WITHOUT_ID =
            "HTTP/1.1 503 Full\r\nTest-Not-Run: yes\r\nContent-Length: 0\r\n\r\n";

    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final AtomicInteger duplicates = new AtomicInteger();
    private final List<RawTarget> targets = new ArrayList<>();
    private ForwardFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = new ForwardFixture();
        fixture.configure(1);
    }

    @AfterEach
    void stop() throws Exception {
        fixture.close();
        for (RawTarget target : targets) {
            target.close();
        }
    }

    private static String served(String id, String framing) {
        return "HTTP/1.1 200 OK\r\nTest-Id: " + id + "\r\nTest-Signed: yes\r\n" + framing;
    }

    private static String served(String id) {
        return served(id, "Content-Length: " + id.length() + "\r\n\r\n" + id);
    }

    private static String refused(String id) {
        return "HTTP/1.1 503 Full\r\nTest-Id: " + id + "\r\nTest-Not-Run: yes\r\nContent-Length: 0\r\n\r\n";
    }

    private int countRun(String id) {
        return runs.computeIfAbsent(id, i -> new AtomicInteger()).incrementAndGet();
    }

    private RawTarget publish(String name, ServiceName service, long coldMs, RawTarget.Script script) throws Exception {
        RawTarget target = new RawTarget(script);
        targets.add(target);
        fixture.publish(name, service, target, coldMs);
        return target;
    }

    /**
     * Guards against a response that is handed to the next caller on a persistent connection, whether the duplicate
     * arrives before the next request or just after it.
     */
    @ParameterizedTest
    @CsvSource({"/once/x, 0", "/once/x, 5", "/repeat/x, 0", "/repeat/x, 5"})
    void duplicateResponseReachesNoOtherCaller(String path, long delayMs) throws Exception {
        for (String name : List.of("a", "b")) {
            Map<Object, String> previousIds = new ConcurrentHashMap<>();
            publish(name, CALLS, 0, (head, out, socket) -> {
                String id = RawTarget.header(head, TestCodec.ID);
                countRun(id);
                String previousId = previousIds.put(socket, id);
                if (previousId != null && delayMs > 0) {
                    duplicates.incrementAndGet();
                    RawTarget.write(out, served(previousId));
                }
                TimeUnit.MILLISECONDS.sleep(delayMs);
                RawTarget.write(out, served(id));
                if (delayMs == 0) {
                    duplicates.incrementAndGet();
                    RawTarget.write(out, served(id));
                }
                return true;
            });
        }
        for (int round = 0; round < ROUNDS; round++) {
            Map<String, CompletableFuture<HttpResponse<String>>> responses = new ConcurrentHashMap<>();
            for (int i = 0; i < CALLERS; i++) {
                String id = "r" + round + "-" + i;
                responses.put(id, fixture.sendLater(fixture.request(path, id).build()));
            }
            for (var response : responses.entrySet()) {
                HttpResponse<String> received = response.getValue().get(20, TimeUnit.SECONDS);
                if (received.statusCode() == 200) {
                    assertThat(received.body()).isEqualTo(response.getKey());
                } else {
                    assertThat(received.statusCode())
                            .as("states that it has not run")
                            .isNotIn(429, 503, 408, 421);
                }
            }
        }
        assertThat(duplicates).as("duplicates sent").hasPositiveValue();
        if (path.startsWith("/once")) {
            assertThat(runs.values()).allMatch(count -> count.get() == 1);
        }
    }

    /**
     * Guards against a refusal of another request that causes a running one to be run again elsewhere, or reported
     * as not run, also if the refusal does not state to which request it belongs.
     */
    @ParameterizedTest
    @CsvSource({"/once/x, calls, true", "/stream/x, engines, true", "/once/x, calls, false", "/stream/x, engines, false"
    })
    void refusalOfAnotherRequestIsIgnored(String path, String service, boolean statesId) throws Exception {
        ServiceName name = service.equals("calls") ? CALLS : ENGINES;
        for (String target : List.of("a", "b")) {
            Map<Object, String> previousIds = new ConcurrentHashMap<>();
            publish(target, name, 0, (head, out, socket) -> {
                String id = RawTarget.header(head, TestCodec.ID);
                String previousId = previousIds.put(socket, id);
                if (previousId == null) {
                    RawTarget.write(out, statesId ? refused(id) : REFUSED_WITHOUT_ID);
                    return true;
                }
                // The request is running from here on, while the copy of the refusal is on its way.
                countRun(id);
                duplicates.incrementAndGet();
                RawTarget.write(out, statesId ? refused(previousId) : REFUSED_WITHOUT_ID);
                TimeUnit.MILLISECONDS.sleep(200);
                return false;
            });
        }
        for (int i = 0; i < 20; i++) {
            int before = duplicates.get();
            int status = status(fixture.request(path, "r" + i)
                    .header(TestCodec.TOKENS, "400")
                    .build());
            if (duplicates.get() > before) {
                assertThat(status).as("states that it has not run").isNotIn(429, 503, 408, 421);
            }
        }
        assertThat(duplicates).as("duplicates sent").hasPositiveValue();
        assertThat(runs).allSatisfy((id, count) -> assertThat(count).as(id).hasValue(1));
    }

    /** Returns the status of the response, or 0 if the connection was closed instead. */
    private int status(HttpRequest request) throws InterruptedException {
        try {
            return fixture.send(request).statusCode();
        } catch (IOException e) {
            return 0;
        }
    }

    /** Guards against a stream that is mixed with that of another request. */
    @Test
    void duplicateResponseIsNotMixedIntoStream() throws Exception {
        Map<Object, String> previousIds = new ConcurrentHashMap<>();
        publish("a", ENGINES, 0, (head, out, socket) -> {
            String id = RawTarget.header(head, TestCodec.ID);
            String previousId = previousIds.put(socket, id);
            if (previousId != null) {
                duplicates.incrementAndGet();
                RawTarget.write(out, served(previousId));
            }
            RawTarget.write(out, served(id, "Transfer-Encoding: chunked\r\n\r\n"));
            String event = "id: 1\ndata: " + id + "\n\n";
            RawTarget.write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n0\r\n\r\n");
            return true;
        });
        for (int i = 0; i < 20; i++) {
            HttpResponse<String> received =
                    fixture.send(fixture.request("/stream/x", "r" + i).build());
            if (received.statusCode() == 200) {
                assertThat(received.body()).isEqualTo("id: 1\ndata: r" + i + "\n\n");
            }
        }
        assertThat(duplicates).as("duplicates sent").hasPositiveValue();
    }
}
