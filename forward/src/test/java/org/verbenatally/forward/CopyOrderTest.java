package org.verbenatally.forward;

import java.net.http.HttpResponse;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.verbenatally.forward.ForwardFixture.ENGINES;

/** Orders to copy a generation whose engine leaves. */
class CopyOrderTest {
    private static final String EVENT = "id: 1\ndata: x\n\n";
    private static final String LAST_EVENT = "id: 2\ndata: y\n\n";
    private static final long BOUND_SECONDS = 20;

    private final Set<Object> usedSockets =
            Collections.synchronizedSet(Collections.newSetFromMap(new IdentityHashMap<>()));
    private final CountDownLatch shortGenerations = new CountDownLatch(2);
    private final CountDownLatch longGeneration = new CountDownLatch(1);
    private final CompletableFuture<Boolean> orderedOnUsedSocket = new CompletableFuture<>();
    private final List<String> copiesUsed = new CopyOnWriteArrayList<>();
    private ForwardFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = new ForwardFixture();
        fixture.configure(1);
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    private static String head(String id, String framing) {
        return "HTTP/1.1 200 OK\r\nTest-Id: " + id + "\r\nTest-Signed: yes\r\n" + framing + "\r\n";
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Leaves idle connections behind after short generations, and keeps the long one until it is copied. */
    private RawTarget engine(String copyResponse) throws Exception {
        return new RawTarget((head, out, socket) -> {
            boolean used = !usedSockets.add(socket);
            if (head.startsWith("POST /copy")) {
                orderedOnUsedSocket.complete(used);
                RawTarget.write(out, copyResponse);
                return true;
            }
            String id = RawTarget.header(head, TestCodec.ID);
            RawTarget.write(out, head(id, "Transfer-Encoding: chunked\r\n") + chunk(EVENT));
            if (id.startsWith("short")) {
                shortGenerations.countDown();
                shortGenerations.await();
                RawTarget.write(out, chunk(LAST_EVENT) + "0\r\n\r\n");
                return true;
            }
            longGeneration.countDown();
            Thread.sleep(100_000);
            return false;
        });
    }

    private RawTarget holder() throws Exception {
        return new RawTarget((head, out, socket) -> {
            copiesUsed.add(RawTarget.header(head, TestCodec.COPY));
            RawTarget.write(
                    out,
                    head(RawTarget.header(head, TestCodec.ID), "Transfer-Encoding: chunked\r\n") + chunk(LAST_EVENT)
                            + "0\r\n\r\n");
            return true;
        });
    }

    private CompletableFuture<HttpResponse<String>> generate(String id) {
        return fixture.sendLater(
                fixture.request("/stream/x", id).header(TestCodec.TOKENS, "400").build());
    }

    private CompletableFuture<HttpResponse<String>> generateUntilEngineLeaves(RawTarget engine, RawTarget holder)
            throws Exception {
        fixture.publish("engine", ENGINES, engine);
        CompletableFuture<HttpResponse<String>> first = generate("short-1");
        CompletableFuture<HttpResponse<String>> second = generate("short-2");
        first.get(BOUND_SECONDS, TimeUnit.SECONDS);
        second.get(BOUND_SECONDS, TimeUnit.SECONDS);
        CompletableFuture<HttpResponse<String>> response = generate("long");
        longGeneration.await();
        fixture.publish("holder", ENGINES, holder);
        fixture.leave("engine");
        return response;
    }

    /** Guards against a response repeated late by an engine that is taken for the response to an order. */
    @Test
    void orderHasConnectionOfItsOwn() throws Exception {
        String body = "copy-1";
        try (RawTarget engine = engine("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
                RawTarget holder = holder()) {
            CompletableFuture<HttpResponse<String>> response = generateUntilEngineLeaves(engine, holder);
            assertThat(orderedOnUsedSocket.get(BOUND_SECONDS, TimeUnit.SECONDS)).isFalse();
            assertThat(response.get(BOUND_SECONDS, TimeUnit.SECONDS).body()).isEqualTo(EVENT + LAST_EVENT);
            assertThat(copiesUsed).singleElement().asString().endsWith("/copy-1");
        }
    }

    /** Guards against a generation that continues from the copy of another one. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nTest-Id: other\r\nContent-Length: 6\r\n\r\ncopy-1",
                "HTTP/1.1 200 OHTTP/1.1 503 Full\r\nTest-Id: long\r\nContent-Length: 6\r\n\r\ncopy-1"
            })
    void distrustedCopyIsNotUsed(String copyResponse) throws Exception {
        try (RawTarget engine = engine(copyResponse);
                RawTarget holder = holder()) {
            CompletableFuture<HttpResponse<String>> response = generateUntilEngineLeaves(engine, holder);
            orderedOnUsedSocket.get(BOUND_SECONDS, TimeUnit.SECONDS);
            response.exceptionally(e -> null).get(BOUND_SECONDS, TimeUnit.SECONDS);
            assertThat(copiesUsed).isEmpty();
        }
    }
}
