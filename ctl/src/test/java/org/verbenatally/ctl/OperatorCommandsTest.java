package org.verbenatally.ctl;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.sun.net.httpserver.HttpServer;
import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.verbenatally.http.CuttingServer;

import static org.assertj.core.api.Assertions.assertThat;

class OperatorCommandsTest {
    private final List<HttpServer> servers = new ArrayList<>();
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @TempDir
    private Path tempDir;

    @AfterEach
    void stopServers() {
        servers.forEach(server -> server.stop(0));
    }

    /** Guards against a burn report that leaves out an entry or a cause without reporting it. */
    @Test
    void burnSumsTheEntriesAndListsMissingOnes() throws IOException {
        String first = startEntry(Map.of("/operator/burn", burnReport("entry-1", 90, 10)));
        String second = startEntry(Map.of("/operator/burn", burnReport("entry-2", 0, 100)));
        String stopped = startEntry(Map.of());
        servers.removeLast().stop(0);
        Path page = tempDir.resolve("burn.html");

        int status = run("burn", "--html", page.toString(), first, second, stopped);

        assertThat(status).isEqualTo(ExitStatus.REFUSED);
        assertThat(text(out)).contains("entry-1 counts since 70 s", "missing: " + stopped);
        assertThat(text(out)).containsPattern("guide +5 +200 +110 +0 +0 +0 +11.00");
        assertThat(text(out)).containsPattern("guide +60 +200 +110 .* SLOW");
        assertThat(Files.readString(page)).contains("guide").doesNotContain("src=", "href=");
    }

    /** Guards against a status report that does not show that entries run different configurations. */
    @Test
    void statusReportsEntriesThatDisagree() throws IOException {
        String first =
                startEntry(Map.of("/operator/status", "{\"instance\":\"entry-1\",\"ready\":true,\"configVersion\":7}"));
        String second =
                startEntry(Map.of("/operator/status", "{\"instance\":\"entry-2\",\"ready\":true,\"configVersion\":8}"));

        assertThat(run("status", first, second)).isEqualTo(ExitStatus.REFUSED);

        assertThat(text(out)).contains("entry-1", "entry-2");
        assertThat(text(err)).contains("disagree").contains("[7, 8]");
    }

    /** Guards against losing the trace of a request because another entry does not know the request. */
    @Test
    void explainShowsTheEntryThatKnowsTheRequest() throws IOException {
        String trace = "{\"request\":\"r1\",\"organisation\":\"tana\",\"kind\":\"guide\",\"steps\":"
                + "[{\"atMs\":3,\"text\":\"attempt 1 on engine-2\"}]}";
        String first = startEntry(Map.of());
        String second = startEntry(Map.of("/operator/explain/r1", trace));

        assertThat(run("explain", "r1", first, second)).isEqualTo(ExitStatus.OK);
        assertThat(text(out)).contains("3 ms  attempt 1 on engine-2");
        assertThat(run("explain", "r2", first, second)).isEqualTo(ExitStatus.REFUSED);
        assertThat(text(err)).contains("no entry remembers request r2");
    }

    /**
     * Guards against a report whose status is that of a response that was broken off, and against a second copy of a
     * response that is taken for the one of the next query.
     */
    @Test
    void responseBelongsToItsQuery() throws Exception {
        String body = "{\"instance\":\"entry-1\",\"ready\":true,\"configVersion\":7}";
        String sound = "HTTP/1.1 200 x\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        AtomicInteger connections = new AtomicInteger();
        AtomicInteger joined = new AtomicInteger();
        Vertx vertx = Vertx.vertx();
        try {
            int twice = listen(vertx, connections, sound + sound.replace("entry-1", "entry-2"));
            int broken = listen(vertx, joined, "HTTP/1.1 200 O" + sound.replace("200", "500"));
            String address = "127.0.0.1:" + twice;
            assertThat(run("status", address, address, address)).isEqualTo(ExitStatus.OK);
            assertThat(connections).hasValue(3);
            assertThat(text(out)).contains("entry-1").doesNotContain("entry-2");
            assertThat(run("status", "127.0.0.1:" + broken)).isEqualTo(ExitStatus.REFUSED);
            assertThat(text(err)).contains("cannot query", "the head of the response");
        } finally {
            vertx.close();
        }
    }

    /** Guards against a report that is shortened, as a reset is hidden by the end of the connection. */
    @Test
    void reportThatIsCutIsNotBelieved() throws Exception {
        try (CuttingServer server = new CuttingServer("HTTP/1.1 200 x\r\n\r\n{\"instance\":\"entry-1\"}")) {
            assertThat(run("status", server.address().toString())).isEqualTo(ExitStatus.REFUSED);
            assertThat(text(err)).contains("cannot query", "connection ended within the response");
        }
    }

    /** Starts an entry that writes the same bytes for each request; returns its port. */
    private static int listen(Vertx vertx, AtomicInteger connections, String bytes) throws Exception {
        return vertx.createNetServer()
                .connectHandler(socket -> {
                    connections.incrementAndGet();
                    socket.handler(request -> socket.write(bytes));
                })
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(20, TimeUnit.SECONDS)
                .actualPort();
    }

    private static String burnReport(String instance, int met, int late) {
        String counts = "\"requests\":%d,\"met\":%d,\"late\":%d,\"stalled\":0,\"refused\":0,\"lost\":0"
                .formatted(met + late, met, late);
        String kind =
                "{\"kind\":\"guide\",\"windows\":[{\"minutes\":5,%s},{\"minutes\":60,%s}]}".formatted(counts, counts);
        String organisation = "{\"organisation\":\"tana\",%s}".formatted(counts);
        return "{\"instance\":\"%s\",\"sinceSeconds\":70,\"objective\":0.95,\"kinds\":[%s],\"organisations\":[%s]}"
                .formatted(instance, kind, organisation);
    }

    private String startEntry(Map<String, String> responses) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", exchange -> {
            String response = responses.get(exchange.getRequestURI().getPath());
            byte[] bytes = (response == null ? "{}" : response).getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(response == null ? 404 : 200, bytes.length);
            exchange.getResponseBody().write(bytes);
            exchange.close();
        });
        server.start();
        servers.add(server);
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private int run(String... args) {
        return CtlMain.run(
                args,
                new Console(
                        new BufferedReader(new StringReader("")),
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8)));
    }

    private static String text(ByteArrayOutputStream stream) {
        return stream.toString(StandardCharsets.UTF_8);
    }
}
