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

import com.sun.net.httpserver.HttpServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class OperatorCommandsTest {
    private final List<HttpServer> servers = new ArrayList<>();
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @TempDir
    private Path folder;

    @AfterEach
    void stop() {
        servers.forEach(server -> server.stop(0));
    }

    /** Guards against a burn report that leaves out an entry or a cause without saying so. */
    @Test
    void burnSumsTheEntriesAndNamesThoseThatAreMissing() throws IOException {
        String one = entry(Map.of("/operator/burn", burn("entry-1", 90, 10)));
        String two = entry(Map.of("/operator/burn", burn("entry-2", 0, 100)));
        String gone = entry(Map.of());
        servers.removeLast().stop(0);
        Path page = folder.resolve("burn.html");

        int status = run("burn", "--html", page.toString(), one, two, gone);

        assertThat(status).isEqualTo(ExitStatus.REFUSED);
        assertThat(text(out)).contains("entry-1 counts since 70 s", "missing: " + gone);
        assertThat(text(out)).containsPattern("guide +5 +200 +110 +0 +0 +0 +11.00");
        assertThat(text(out)).containsPattern("guide +60 +200 +110 .* SLOW");
        assertThat(Files.readString(page)).contains("guide").doesNotContain("src=", "href=");
    }

    /** Guards against a status that hides that entries run different configurations. */
    @Test
    void statusReportsEntriesThatDisagree() throws IOException {
        String one = entry(Map.of("/operator/status", "{\"instance\":\"entry-1\",\"ready\":true,\"configVersion\":7}"));
        String two = entry(Map.of("/operator/status", "{\"instance\":\"entry-2\",\"ready\":true,\"configVersion\":8}"));

        assertThat(run("status", one, two)).isEqualTo(ExitStatus.REFUSED);

        assertThat(text(out)).contains("entry-1", "entry-2");
        assertThat(text(err)).contains("disagree").contains("[7, 8]");
    }

    /** Guards against an explanation that is lost because another entry does not know the request. */
    @Test
    void explainShowsTheEntryThatKnowsTheRequest() throws IOException {
        String trace = "{\"request\":\"r1\",\"organisation\":\"tana\",\"kind\":\"guide\",\"steps\":"
                + "[{\"atMs\":3,\"text\":\"attempt 1 on engine-2\"}]}";
        String one = entry(Map.of());
        String two = entry(Map.of("/operator/explain/r1", trace));

        assertThat(run("explain", "r1", one, two)).isEqualTo(ExitStatus.OK);
        assertThat(text(out)).contains("3 ms  attempt 1 on engine-2");
        assertThat(run("explain", "r2", one, two)).isEqualTo(ExitStatus.REFUSED);
        assertThat(text(err)).contains("no entry remembers request r2");
    }

    private static String burn(String instance, int met, int late) {
        String counts = "\"requests\":%d,\"met\":%d,\"late\":%d,\"stalled\":0,\"refused\":0,\"lost\":0"
                .formatted(met + late, met, late);
        String kind =
                "{\"kind\":\"guide\",\"windows\":[{\"minutes\":5,%s},{\"minutes\":60,%s}]}".formatted(counts, counts);
        String organisation = "{\"organisation\":\"tana\",%s}".formatted(counts);
        return "{\"instance\":\"%s\",\"sinceSeconds\":70,\"objective\":0.95,\"kinds\":[%s],\"organisations\":[%s]}"
                .formatted(instance, kind, organisation);
    }

    private String entry(Map<String, String> answers) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", exchange -> {
            String answer = answers.get(exchange.getRequestURI().getPath());
            byte[] bytes = (answer == null ? "{}" : answer).getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(answer == null ? 404 : 200, bytes.length);
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
