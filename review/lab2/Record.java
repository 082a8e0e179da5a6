import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with milliseconds since the start. */
final class Record {
    private static final long START = System.nanoTime();
    private static PrintWriter out;

    private Record() {}

    static void open(String file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(Path.of(file)));
    }

    static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static synchronized void log(String format, Object... args) {
        out.printf("%7d ", now());
        out.printf(format, args);
        out.println();
        out.flush();
    }

    static void say(String format, Object... args) {
        log(format, args);
        System.out.printf(format + "%n", args);
    }
}
