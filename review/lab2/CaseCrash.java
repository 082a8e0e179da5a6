import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A model server crashes whose answers have neither a length nor chunks and end with their connection. Rule ORDER.
 */
final class CaseCrash implements Main.Case {
    @Override
    public int run(Path folder, boolean trouble) throws Exception {
        Store store = new Store("127.0.74.1");
        store.put("op/config", Config.of(false));
        List<ServerProcess> engines = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            engines.add(new ServerProcess(folder, "pool", "127.0.73." + (i + 1), 24, i > 0));
        }
        Server.pause(1_000);
        engines.forEach(e -> e.register(store));
        Instances instances = new Instances(folder, store.address(), 2);
        instances.start();
        instances.awaitReady();
        long traffic = Record.now();
        Thread.ofVirtual().start(() -> {
            for (int n = 0; Record.now() - traffic < 16_000; n++) {
                String instance = instances.hosts.get(n % 2);
                String parts = "5c1e07a2:79," + Integer.toHexString(ThreadLocalRandom.current().nextInt()) + ":921";
                Thread.ofVirtual().start(() ->
                        Client.stream(instance, instances.port, Config.HOST, "/long/g", 1_000, 250, parts, 39_000));
                Server.pause(250);
            }
        });
        Server.pause(10_000);
        if (trouble) {
            engines.getFirst().crash();
        }
        Server.pause(18_000);
        instances.kill();
        for (ServerProcess engine : engines) {
            engine.end();
        }
        return check();
    }

    private static int check() {
        int whole = 0;
        int cut = 0;
        int wrong = 0;
        for (Client.Answer a : Client.ANSWERS) {
            if (a.status != 200) {
                continue;
            }
            if (a.complete && a.events() == a.expectedEvents) {
                whole++;
            } else if (!a.complete) {
                cut++;
            } else {
                wrong++;
                Record.log("ORDER request=%s ended as complete after %d of %d events", a.request, a.events(),
                        a.expectedEvents);
            }
        }
        Record.say("streams: %d whole, %d broken off visibly, %d that end as complete before their last event", whole,
                cut, wrong);
        if (whole < 10) {
            Record.say("too few whole streams: the case could not run");
            return 2;
        }
        Record.say(wrong > 0 ? "ORDER is broken" : "ORDER held");
        return wrong > 0 ? 1 : 0;
    }
}
