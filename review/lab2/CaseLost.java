import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A model server leaves as planned, and the answer of one that goes on with a generation is lost. All servers drop a
 * request when its connection closes. Rule TWICE.
 */
final class CaseLost implements Main.Case {
    private static final long LIMIT_MS = 400;

    @Override
    public int run(Path folder, boolean trouble) throws Exception {
        Store store = new Store("127.0.74.1");
        store.put("op/config", Config.of(true));
        List<Server> engines = Server.several(store, "pool", 8, 24);
        for (Server s : engines) {
            s.start();
        }
        Instances instances = new Instances(folder, store.address(), 2);
        instances.start();
        instances.awaitReady();
        long traffic = Record.now();
        Thread.ofVirtual().start(() -> send(instances, traffic, 180, 300, 400));
        Thread.ofVirtual().start(() -> send(instances, traffic, 10, 60, 2));
        Server.pause(8_000);
        // Three of eight servers lose answers for 5.5 s, in whose last part the first server leaves.
        if (trouble) {
            engines.subList(1, 4).forEach(Server::loseAnswers);
        }
        Server.pause(4_700);
        engines.getFirst().drain(8_000);
        Server.pause(26_000);
        instances.kill();
        for (int i = 1; i <= 3; i++) {
            Record.say("server %s: %d answers lost of %d", engines.get(i).id(), engines.get(i).lost.get(),
                    engines.get(i).ran());
        }
        return check(trouble, engines.stream().mapToInt(e -> e.lost.get()).sum());
    }

    private static void send(Instances instances, long traffic, int everyMs, int promptTokens, int events) {
        for (int n = 1; Record.now() - traffic < 18_000; n++) {
            String instance = instances.hosts.get(n % 2);
            String parts = "5c1e07a2:20," + Integer.toHexString(ThreadLocalRandom.current().nextInt()) + ":"
                    + (promptTokens - 20);
            Thread.ofVirtual().start(() -> Client.stream(instance, instances.port, Config.HOST, "/long/g", promptTokens,
                    events, parts, 39_000));
            Server.pause(traffic + (long) n * everyMs - Record.now());
        }
    }

    private static int check(boolean trouble, int lost) {
        long complete = Client.ANSWERS.stream()
                .filter(a -> a.complete && a.status == 200 && a.events() == a.expectedEvents)
                .count();
        Map<String, List<Server.Run>> byRequest = new TreeMap<>();
        Server.RUNS.forEach(r -> byRequest.computeIfAbsent(r.request, k -> new ArrayList<>()).add(r));
        int twice = 0;
        int moved = 0;
        long longest = 0;
        for (List<Server.Run> runs : byRequest.values()) {
            for (Server.Run next : runs) {
                for (Server.Run before : runs) {
                    if (before.server.equals(next.server) || before.start >= next.start || before.steps.isEmpty()
                            || next.steps.isEmpty()) {
                        continue;
                    }
                    moved++;
                    long both = Math.min(before.steps.getLast(), next.steps.getLast()) - next.steps.getFirst();
                    longest = Math.max(longest, both);
                    if (both > LIMIT_MS) {
                        twice++;
                        Record.log("TWICE request=%s works at %s until %d, and at %s from %d to %d", before.request,
                                before.server, before.steps.getLast(), next.server, next.steps.getFirst(),
                                next.steps.getLast());
                    }
                }
            }
        }
        Record.say("answers: %d, complete: %d; generations that went on elsewhere: %d; at work at two servers for over"
                + " %d ms: %d, longest %d ms", Client.ANSWERS.size(), complete, moved, LIMIT_MS, twice, longest);
        if (complete < 200 || moved == 0 || trouble && lost == 0) {
            Record.say("the case could not run");
            return 2;
        }
        Record.say(twice > 0 ? "TWICE is broken" : "TWICE held");
        return twice > 0 ? 1 : 0;
    }
}
