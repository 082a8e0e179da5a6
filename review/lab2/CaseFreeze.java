import java.nio.file.Path;
import java.util.List;

/**
 * A machine freezes for four seconds and wakes, while clients send it bodies of a megabyte. Rule CONFIG.
 */
final class CaseFreeze implements Main.Case {
    private static final int CONTACT_MS = 3_000;
    private static final int TIMEOUT_MS = 2_500;
    private static final int SLACK_MS = 500;
    private static final int DEADLINE_MS = 4_000;
    private static final int BODY_BYTES = 1_000_000;
    /** A client's own link: 100 Mbit/s. */
    private static final int CLIENT_BYTES_PER_MS = 12_500;

    private static final int REQUESTS_PER_S = 30;
    private static final int FREEZE_MS = 4_000;

    private volatile boolean ended;

    @Override
    public int run(Path folder, boolean trouble) throws Exception {
        Store store = new Store("127.0.74.1");
        store.put("op/config", Config.of(true));
        List<Server> desk = Server.several(store, "desk", 3, 6);
        for (Server s : desk) {
            s.start();
        }
        Instances instances = new Instances(folder, store.address(), 2);
        instances.spread = true;
        instances.start();
        instances.awaitReady();
        Client.bytesPerMs = CLIENT_BYTES_PER_MS;
        String body = "work=40 " + "x".repeat(BODY_BYTES);
        // Each instance is the only one of its zone, so that its clients stay with it, ready or not.
        send(instances, 0, body, REQUESTS_PER_S);
        send(instances, 1, "work=40", REQUESTS_PER_S);
        Thread.ofVirtual().start(() -> {
            while (!ended) {
                Record.log("ready: %s %s", instances.ready(instances.hosts.get(0)),
                        instances.ready(instances.hosts.get(1)));
                Server.pause(1_000);
            }
        });
        Server.pause(8_000);
        if (trouble) {
            instances.signal(0, "STOP");
        }
        Server.pause(FREEZE_MS);
        if (trouble) {
            instances.signal(0, "CONT");
        }
        long woke = Record.now();
        Server.pause(18_000);
        ended = true;
        Server.pause(DEADLINE_MS + 500);
        Record.say("instance 1: process alive: %s, ready: %s", instances.process(0).isAlive(),
                instances.ready(instances.hosts.get(0)));
        instances.kill();
        return check(instances, woke);
    }

    private void send(Instances instances, int i, String body, int perSecond) {
        long start = Record.now();
        Thread.ofVirtual().start(() -> {
            for (long n = 1; !ended; n++) {
                Thread.ofVirtual().start(() -> Client.send(instances.hosts.get(i), instances.port, "POST", Config.HOST,
                        "/order/a", "", body, DEADLINE_MS, 0, ""));
                Server.pause(start + n * 1_000 / perSecond - Record.now());
            }
        });
    }

    private static int check(Instances instances, long woke) {
        int result = 0;
        for (String instance : instances.hosts) {
            List<Client.Answer> before = Client.ANSWERS.stream()
                    .filter(a -> a.instance.equals(instance) && a.ended < woke - FREEZE_MS)
                    .toList();
            List<Client.Answer> after = Client.ANSWERS.stream()
                    .filter(a -> a.instance.equals(instance) && a.sent > woke + CONTACT_MS)
                    .toList();
            long servedBefore = before.stream().filter(a -> a.status == 200).count();
            long served = after.stream().filter(a -> a.status == 200).count();
            long longer = after.stream()
                    .filter(a -> a.status == 0 || a.ended - a.sent > TIMEOUT_MS)
                    .count();
            long late = after.stream()
                    .filter(a -> a.status == 0 || a.ended - a.sent > TIMEOUT_MS + SLACK_MS)
                    .count();
            Record.say("%s: %d of %d served before; in touch again: %d of %d served, %d unanswered at TimeoutMs, %d of"
                    + " these half a second later", instance, servedBefore, before.size(), served, after.size(), longer,
                    late);
            if (servedBefore < 100 || after.size() < 100) {
                Record.say("too few requests: the case could not run");
                return 2;
            }
            if (late >= 8 && 2 * late > longer) {
                result = 1;
            }
        }
        Record.say(result > 0 ? "CONFIG is broken" : "CONFIG held");
        return result;
    }
}
