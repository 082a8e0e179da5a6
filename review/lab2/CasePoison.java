import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * One part of a prompt crashes each server that begins to write an answer on it. Six users ask with that part at the
 * same moment, every eight seconds: 11 in 100 of all requests. Rule BUDGET.
 */
final class CasePoison implements Main.Case {
    private static final String PART = "bad0bad0";
    private static final int CONTACT_MS = 3_000;
    private static final int USERS = 6;
    private static final int BATCHES = 4;
    private static final int BATCH_MS = 8_000;
    private static final int SOUND_MS = 166;

    @Override
    public int run(Path folder, boolean trouble) throws Exception {
        Store store = new Store("127.0.74.1");
        store.put("op/config", Config.of(true));
        List<Server> engines = Server.several(store, "pool", 8, 24);
        for (Server s : engines) {
            s.poison = trouble ? PART : "";
            s.start();
        }
        Instances instances = new Instances(folder, store.address(), 3);
        instances.start();
        instances.awaitReady();
        long traffic = Record.now();
        Thread.ofVirtual().start(() -> {
            for (int n = 0; Record.now() - traffic < 6_000 + BATCHES * BATCH_MS; n++) {
                send(instances, n, "77aa11", 40);
                Server.pause(traffic + (n + 1L) * SOUND_MS - Record.now());
            }
        });
        Server.pause(6_000);
        for (int batch = 0; batch < BATCHES; batch++) {
            Record.say("batch %d: %d requests with the part %s", batch + 1, USERS, PART);
            for (int user = 0; user < USERS; user++) {
                send(instances, user, PART, 40);
            }
            Server.pause(BATCH_MS);
        }
        Server.pause(4_000);
        instances.kill();
        return check(trouble);
    }

    private static void send(Instances instances, int n, String part, int events) {
        String instance = instances.hosts.get(n % instances.hosts.size());
        String parts = "5c1e07a2:79," + part + ":421,"
                + Integer.toHexString(ThreadLocalRandom.current().nextInt()) + ":500";
        Thread.ofVirtual().start(() ->
                Client.stream(instance, instances.port, Config.HOST, "/long/g", 1_000, events, parts, 6_000));
    }

    private static int check(boolean trouble) {
        List<Client.Answer> sound =
                Client.ANSWERS.stream().filter(a -> !a.parts.contains(PART)).toList();
        long served = sound.stream()
                .filter(a -> a.complete && a.status == 200 && a.events() == a.expectedEvents)
                .count();
        long broken = sound.stream().filter(a -> a.status == 200 && !a.complete).count();
        List<Server.Arrival> bad = Server.ARRIVALS.stream()
                .filter(a -> a.parts().contains(PART + ":"))
                .toList();
        Record.say("sound requests: %d, served: %d, broken off midway: %d; arrivals with the part: %d; crashes: %d",
                sound.size(), served, broken, bad.size(), Server.CRASHES.size());
        if (served < 20 || trouble && Server.CRASHES.size() < 5) {
            Record.say("the case could not run");
            return 2;
        }
        if (!trouble) {
            Record.say("no server has crashed: BUDGET held");
            return Server.CRASHES.isEmpty() ? 0 : 2;
        }
        long fifth = Server.CRASHES.stream().sorted().skip(4).findFirst().orElseThrow();
        List<Server.Arrival> late =
                bad.stream().filter(a -> a.at() > fifth + CONTACT_MS).toList();
        late.forEach(a -> Record.log("LATE request=%s at server %s, %d ms after the fifth crash", a.request(),
                a.server(), a.at() - fifth));
        Record.say("fifth crash at %d; requests with the part that reached a server later than %d ms after it: %d",
                fifth, CONTACT_MS, late.size());
        Record.say(late.size() > 3 ? "BUDGET is broken" : "BUDGET held");
        return late.size() > 3 ? 1 : 0;
    }
}
