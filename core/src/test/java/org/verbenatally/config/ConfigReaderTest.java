package org.verbenatally.config;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.verbenatally.core.KindName;
import org.verbenatally.core.OrganisationId;
import org.verbenatally.settings.EntrySettings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

class ConfigReaderTest {
    private static final Path EXAMPLES = Path.of("..", "examples");

    /** Guards against examples that the reader rejects, or whose size differs from that of the fleet they represent. */
    @ParameterizedTest
    @CsvSource({"abay, 8, 3, 3", "aarhus, 6, 3, 4"})
    void readsExampleWithTheSizeOfItsFleet(String name, int engines, int services, int kinds) throws Exception {
        Deployment deployment = ConfigReader.read(name, example(name));
        assertThat(count(deployment, TargetType.ENGINE)).isEqualTo(engines);
        assertThat(count(deployment, TargetType.SERVICE)).isEqualTo(services);
        assertThat(deployment.kinds()).hasSize(kinds);
        assertThat(deployment.organisations()).hasSize(10);
        byte[] suffix = "-credential".getBytes(StandardCharsets.UTF_8);
        for (OrganisationId id : deployment.organisations().keySet()) {
            byte[] credential =
                    (id.value() + new String(suffix, StandardCharsets.UTF_8)).getBytes(StandardCharsets.UTF_8);
            assertThat(deployment.organisations().get(id).matches(ConfigReader.digest(credential)))
                    .isTrue();
        }
    }

    /** Guards against a booking that runs twice because the example declares it repeatable. */
    @Test
    void bookingsAreNotRepeatable() throws Exception {
        Kind booking = ConfigReader.read("abay", example("abay")).kinds().get(new KindName("order-booking"));
        assertThat(booking.repeatable()).isFalse();
    }

    /** Guards against faults that are hidden by other faults, and against messages without line and field. */
    @Test
    void listsEveryFaultWithLineAndField() throws IOException {
        String text = new String(example("abay"), StandardCharsets.UTF_8)
                .replace("\"version\": 1,", "\"version\": 0, \"colour\": \"red\",")
                .replace("\"objective\": 0.95", "\"objective\": 2");
        var e = catchThrowableOfType(ConfigException.class, () -> read(text));
        assertThat(e.faults())
                .extracting(ConfigException.Fault::field)
                .containsExactlyInAnyOrder("/version", "/colour", "/levels/objective");
        assertThat(e.faults()).extracting(ConfigException.Fault::line).containsExactly(5, 5, 9);
        assertThat(e.getMessage()).contains("unknown field", "line 9");
    }

    static Stream<String[]> brokenReferences() {
        return Stream.of(
                new String[] {
                    "\"model\": \"glassguide-14b\", \"adapter\"", "\"model\": \"other\", \"adapter\"", "/kinds/0/model"
                },
                new String[] {"\"adapter\": \"finishing\"", "\"adapter\": \"other\"", "/kinds/0/adapter"},
                new String[] {"\"id\": \"engine-2\"", "\"id\": \"engine-1\"", "/targets/1/id"},
                new String[] {"\"port\": 9102", "\"port\": 9101", "/targets/1/port"},
                new String[] {"\"id\": \"gibe\"", "\"id\": \"tana\"", "/organisations/1/id"},
                new String[] {"\"type\": \"service\"", "\"type\": \"engine\"", "/kinds/1/runsOn"},
                new String[] {
                    "\"defaultKind\": \"guide\"", "\"defaultKind\": \"quote-check\"", "/organisations/0/defaultKind"
                },
                new String[] {"\"typicalTokens\": 900", "\"typicalTokens\": 90000", "/kinds/0/typicalTokens"},
                new String[] {"\"version\": 1,", "\"version\": 1, \"version\": 2,", ""},
                new String[] {"\"weightStore\"", "weightStore", ""});
    }

    /** Guards against putting a document in force that refers to a model, target or kind that does not exist. */
    @ParameterizedTest
    @MethodSource("brokenReferences")
    void rejectsDocumentWithBrokenReference(String from, String to, String field) throws IOException {
        String text = new String(example("abay"), StandardCharsets.UTF_8);
        assertThat(text).contains(from);
        var e = catchThrowableOfType(ConfigException.class, () -> read(text.replace(from, to)));
        assertThat(e.faults()).extracting(ConfigException.Fault::field).contains(field);
    }

    /** Guards against unbounded memory use caused by a malicious or broken platform. */
    @Test
    void rejectsDocumentAboveOneMebibyte() {
        var e = catchThrowableOfType(ConfigException.class, () -> ConfigReader.read("big", new byte[(1 << 20) + 1]));
        assertThat(e).hasMessageContaining("at most 1048576 bytes");
    }

    /** Returns documents with values that no field accepts, and bytes that are no document. */
    public static Stream<byte[]> oddDocuments() throws IOException {
        String text = new String(example("abay"), StandardCharsets.UTF_8);
        Stream<String> numbers = Stream.of(
                        "1e400", "-1e400", "-1", "1.5", "9".repeat(30), "9".repeat(5_000), "NaN", "{}")
                .flatMap(value -> Stream.of("\"version\": 1", "\"port\": 9102", "\"objective\": 0.95")
                        .map(field -> text.replace(field, field.replaceFirst("[0-9.]+$", value))));
        Stream<String> nested = Stream.of(990, 1_001, 100_000)
                .flatMap(depth -> Stream.of(
                        "[".repeat(depth) + "]".repeat(depth), "{\"x\":".repeat(depth) + "1" + "}".repeat(depth)))
                .map(value -> text.replace("\"version\": 1", "\"version\": 1, \"unread\": " + value));
        Stream<String> others = Stream.of("", "null", "7", "[]", "{}", text + "x");
        // Four bytes a character, the second of them outside Unicode.
        Stream<byte[]> bytes = Stream.of(
                new byte[] {0, 0, 0, '[', 0x7f, 0, 0, ' '}, new byte[] {'{', '"', (byte) 0xc0, (byte) 0x80, '"', '}'});
        return Stream.concat(
                Stream.of(numbers, nested, others).flatMap(s -> s).map(t -> t.getBytes(StandardCharsets.UTF_8)), bytes);
    }

    /** Guards against a document whose rejection fails in another way than the reading tasks expect. */
    @ParameterizedTest
    @MethodSource("oddDocuments")
    void oddDocumentIsRejected(byte[] odd) {
        assertThat(catchThrowableOfType(ConfigException.class, () -> ConfigReader.read("test", odd)))
                .isNotNull();
    }

    /** Guards against an example that does not start, and against invalid seeds that are detected only on first use. */
    @Test
    void readsSettingsAndRejectsInvalidSeed() throws Exception {
        Path file = EXAMPLES.resolve("entry.settings.json");
        EntrySettings settings = SettingsReader.read(file);
        assertThat(settings.getDrainSeconds()).isEqualTo(2700);
        byte[] invalid =
                Files.readString(file).replace("127.0.0.1:8102", "127.0.0.1").getBytes(StandardCharsets.UTF_8);
        var e = catchThrowableOfType(ConfigException.class, () -> SettingsReader.read("entry", invalid));
        assertThat(e.faults()).singleElement().satisfies(f -> {
            assertThat(f.field()).isEqualTo("/peers/seeds/1");
            assertThat(f.line()).isPositive();
        });
    }

    private static Deployment read(String text) throws ConfigException {
        return ConfigReader.read("test", text.getBytes(StandardCharsets.UTF_8));
    }

    private static long count(Deployment deployment, TargetType type) {
        return deployment.targets().values().stream()
                .filter(t -> t.type() == type)
                .count();
    }

    private static byte[] example(String name) throws IOException {
        return Files.readAllBytes(EXAMPLES.resolve(name + ".deployment.json"));
    }
}
