import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A model server leaves as planned while it runs generations. It is one of those that do not drop a request when its
 * connection closes. Rule TWICE.
 */
final class CaseLeave implements Main.Case {
    private static final long LIMIT_MS = 400;

    @Override
    public int run(Path folder, boolean trouble) throws Exception {
        Store store = new Store("127.0.74.1");
        store.put("op/config", Config.of(true));
        List<Server> engines = Server.several(store, "pool", 8, 24);
        engines.getFirst().drops = false;
        for (Server s : engines) {
            s.start();
        }
        Instances instances = new Instances(folder, store.address(), 2);
        instances.start();
        instances.awaitReady();
        long traffic = Record.now();
        Thread.ofVirtual().start(() -> {
            int n = 0;
            while (Record.now() - traffic < 20_000) {
                String instance = instances.hosts.get(n % 2);
                String parts = "5c1e07a2:79," + Integer.toHexString(ThreadLocalRandom.current().nextInt()) + ":921";
                Thread.ofVirtual().start(() ->
                        Client.stream(instance, instances.port, Config.HOST, "/long/g", 1_000, 400, parts, 39_000));
                n++;
                Server.pause(350);
            }
        });
        Server.pause(12_000);
        if (trouble) {
            engines.getFirst().drain(14_000);
        }
        Server.pause(30_000);
        instances.kill();
        return check();
    }

    private static int check() {
        long complete = Client.ANSWERS.stream()
                .filter(a -> a.complete && a.status == 200 && a.events() == a.expectedEvents)
                .count();
        Map<String, List<Server.Run>> byRequest = new TreeMap<>();
        Server.RUNS.forEach(
                r -> byRequest.computeIfAbsent(r.request, k -> new java.util.ArrayList<>()).add(r));
        int twice = 0;
        long longest = 0;
        for (List<Server.Run> runs : byRequest.values()) {
            for (Server.Run next : runs) {
                for (Server.Run before : runs) {
                    boolean other = !before.server.equals(next.server) && before.start < next.start;
                    if (other && !before.steps.isEmpty() && !next.steps.isEmpty()
                            && before.steps.getLast() - next.steps.getFirst() > LIMIT_MS) {
                        twice++;
                        long overlap = Math.min(before.steps.getLast(), next.steps.getLast()) - next.steps.getFirst();
                        longest = Math.max(longest, overlap);
                        Record.log("TWICE request=%s works at %s until %d, and at %s from %d to %d", before.request,
                                before.server, before.steps.getLast(), next.server, next.steps.getFirst(),
                                next.steps.getLast());
                    }
                }
            }
        }
        Record.say("answers: %d, complete: %d; requests at work at two servers for over %d ms: %d, longest %d ms",
                Client.ANSWERS.size(), complete, LIMIT_MS, twice, longest);
        if (complete < 10) {
            Record.say("too few complete answers: the case could not run");
            return 2;
        }
        Record.say(twice > 0 ? "TWICE is broken" : "TWICE held");
        return twice > 0 ? 1 : 0;
    }
}
