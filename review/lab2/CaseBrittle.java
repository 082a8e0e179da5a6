import java.nio.file.Path;
import java.util.List;

/** The servers of a service are brittle and say so, and then many users come at once. Rule LIMIT. */
final class CaseBrittle implements Main.Case {
    private static final int SERVERS = 3;
    private static final int SLOTS = 6;
    private static final int WORK_MS = 40;
    /** Two thirds of what the servers can do: 450 requests a second. */
    private static final int USUAL_PER_S = 300;

    private static final double BURST = 1.7;
    private static final int REJECTIONS = 20;

    private volatile double perSecond = USUAL_PER_S;
    private volatile boolean ended;

    @Override
    public int run(Path folder, boolean trouble) throws Exception {
        Store store = new Store("127.0.74.1");
        store.put("op/config", Config.of(true));
        List<Server> desk = Server.several(store, "desk", SERVERS, SLOTS);
        for (Server s : desk) {
            s.queue = 24;
            s.start();
        }
        Instances instances = new Instances(folder, store.address(), 3);
        instances.start();
        instances.awaitReady();
        Thread.ofVirtual().start(() -> send(instances));
        Server.pause(6_000);
        if (trouble) {
            Record.say("the servers are brittle: %d", REJECTIONS);
            desk.forEach(s -> s.brittle = REJECTIONS);
        }
        Server.pause(3_000);
        desk.forEach(s -> s.queue = trouble ? 6 : 24);
        Server.pause(5_000);
        int before = Server.CRASHES.size();
        Record.say("a burst begins");
        perSecond = USUAL_PER_S * BURST;
        Server.pause(3_000);
        perSecond = USUAL_PER_S;
        Record.say("the burst has ended");
        Server.pause(8_000);
        ended = true;
        Server.pause(3_000);
        instances.kill();
        return check(before);
    }

    private void send(Instances instances) {
        double due = Record.now();
        for (int n = 0; !ended; n++) {
            String instance = instances.hosts.get(n % instances.hosts.size());
            Thread.ofVirtual().start(() -> Client.send(instance, instances.port, "POST", Config.HOST, "/order/a", "",
                    "work=" + WORK_MS, 2_500, 0, ""));
            due += 1_000 / perSecond;
            Server.pause((long) due - Record.now());
        }
    }

    private static int check(int before) {
        long served = Client.ANSWERS.stream().filter(a -> a.status == 200).count();
        long refused = Client.ANSWERS.stream().filter(a -> a.status == 503).count();
        long lost = Server.RUNS.stream().filter(r -> r.end.startsWith("lost")).count();
        int falls = Server.CRASHES.size();
        Record.say("orders: %d, served: %d, refused: %d, other: %d; falls of servers: %d, of these before the burst: %d;"
                + " orders lost with them: %d", Client.ANSWERS.size(), served, refused,
                Client.ANSWERS.size() - served - refused, falls, before, lost);
        if (served < 1_000) {
            Record.say("the case could not run");
            return 2;
        }
        boolean broken = falls > 2 + SERVERS / 10.0;
        Record.say(broken ? "LIMIT is broken" : "LIMIT held");
        return broken ? 1 : 0;
    }
}
