package org.verbenatally.entry.target;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.verbenatally.policy.ReportedLoad;

import static org.assertj.core.api.Assertions.assertThat;
import static org.verbenatally.entry.target.RawService.response;

/** Load reports whose bytes are written one by one. */
class LoadClientTest {
    private static final int POLLS = 20;

    private final Vertx vertx = Vertx.vertx();
    private final LoadClient client = new LoadClient(new TargetClients(vertx).http());
    private RawService service;

    @FunctionalInterface
    private interface Read {
        ReportedLoad read() throws TargetFailure;
    }

    @AfterEach
    void stop() throws Exception {
        service.close();
        vertx.close();
    }

    private static String report(long atMs, int running) {
        String time = atMs == 0 ? "" : "\"atMs\":" + atMs + ",";
        return response(200, "", "{" + time + "\"running\":" + running + ",\"leaving\":false}");
    }

    private void serve(RawService.Script script) throws IOException {
        service = new RawService(script);
    }

    /** Reads reports one after the other; returns the running requests that each states, or why it was not believed. */
    private List<String> read(int count, Read read) throws Exception {
        List<String> results = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            results.add(RawService.run(vertx, () -> Integer.toString(read.read().running())));
        }
        return results;
    }

    private List<String> poll(int count) throws Exception {
        return read(count, () -> client.poll(service.target()));
    }

    /** Guards against a copy of an earlier report that is taken for that of this poll, and against all that follow. */
    @Test
    void copyOfReportIsIgnored() throws Exception {
        serve((head, i) -> report(i == 0 ? 100 : 99, i == 0 ? 1 : 9));
        assertThat(poll(POLLS)).contains("BAD_ANSWER").doesNotContain("9");
    }

    /** Guards against reports that are passed on one poll late: the copy and its connection go together. */
    @Test
    void connectionWithACopyIsNotReused() throws Exception {
        AtomicReference<String> last = new AtomicReference<>();
        AtomicLong clockMs = new AtomicLong(100);
        serve((head, i) -> i == 2 ? last.get() : last.updateAndGet(previous -> report(clockMs.incrementAndGet(), i)));
        assertThat(poll(POLLS)).contains("BAD_ANSWER").doesNotContain("2", "3");
    }

    /** Guards against believing reports that cannot be told apart on a connection that was used before. */
    @Test
    void targetThatStatesNoTimeGetsNewConnections() throws Exception {
        serve((head, i) -> report(0, i));
        assertThat(poll(POLLS)).containsOnly("0");
        assertThat(service.connections()).isEqualTo(POLLS);
    }

    /** Guards against a report of an earlier run that hides that the target has restarted. */
    @Test
    void singleReadUsesANewConnection() throws Exception {
        serve((head, i) -> report(100, i));
        poll(1);
        assertThat(read(5, () -> client.readOnce(service.target()))).containsOnly("0");
        assertThat(service.connections()).isEqualTo(6);
    }

    /** Guards against a report whose status is that of another response. */
    @Test
    void joinedHeadIsNotBelieved() throws Exception {
        serve((head, i) -> "HTTP/1.1 200 O" + report(100, 1).replace("200", "500"));
        assertThat(poll(1)).containsExactly("BAD_ANSWER");
    }

    /** Guards against new connections for polls of a target whose reports are sound. */
    @Test
    void soundConnectionIsReused() throws Exception {
        AtomicLong clockMs = new AtomicLong(100);
        serve((head, i) -> report(clockMs.incrementAndGet(), 0));
        String results = RawService.run(vertx, () -> {
            StringBuilder collected = new StringBuilder();
            for (int i = 0; i < POLLS; i++) {
                collected.append(client.poll(service.target()).running());
            }
            return collected.toString();
        });
        assertThat(results).isEqualTo("0".repeat(POLLS));
        // A poll may begin just before the connection of the one before it is given back.
        assertThat(service.connections()).isLessThanOrEqualTo(2);
    }
}
