import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The operator takes away the two keys of a deployment; a key that was never held is tried before and after. */
final class KeysGone {
    private static final int CONFIG_APPLY_MS = 2_000;
    private static final int GAP_MS = 1_500;
    private static final String KEY_ONE = "xd9dnn2ctnfzs989anu6";
    private static final String KEY_TWO = "wsjnbanfqasnmgkcuyj8";
    /** No configuration ever held this one. */
    private static final String UNKNOWN = "q7rmt2kfe5wz8hjc3vbn";

    private final Lab lab;
    private final Map<String, String> runs = new ConcurrentHashMap<>();

    private KeysGone(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] args) {
        Lab.run(args, lab -> new KeysGone(lab).run());
    }

    private int run() throws Exception {
        List<Lab.Tenant> both = List.of(new Lab.Tenant("tenant-one", List.of(KEY_ONE)), new Lab.Tenant("tenant-two", List.of(KEY_TWO)));
        lab.configure(7, Lab.engine(34322, true, true), both);
        for (int i = 1; i <= 3; i++) {
            lab.new Server("i-desk" + i, "desk", (server, m, line) -> {
                String id = m.header("Attempt-Id");
                runs.put(id, String.valueOf(m.header("Tenant")));
                lab.log(server.id, "runs " + id + ", Tenant " + m.header("Tenant"));
                line.write(Lab.answerHead(200, m, "Content-Length: 2\r\n") + "ok");
                return true;
            }).publish("ready");
        }
        List<Lab.Instance> instances = new ArrayList<>();
        for (int i = 1; i <= 2; i++) {
            instances.add(lab.new Instance("front-" + i));
        }
        for (Lab.Instance i : instances) {
            i.start(lab.store.address(), instances, 8);
        }
        for (Lab.Instance i : instances) {
            i.awaitReady();
        }
        Lab.pause(500);
        send(instances, "before");
        if (lab.trouble) {
            lab.configure(12, Lab.engine(34322, true, true),
                    List.of(new Lab.Tenant("tenant-one", List.of()), new Lab.Tenant("tenant-two", List.of(KEY_TWO))));
            Lab.pause(GAP_MS);
            lab.configure(19, Lab.engine(34322, true, true),
                    List.of(new Lab.Tenant("tenant-one", List.of()), new Lab.Tenant("tenant-two", List.of())));
        }
        Lab.pause(2 * CONFIG_APPLY_MS);
        send(instances, "after");
        long unknown = runs.keySet().stream().filter(id -> id.contains("unknown-key")).count();
        long dropped = runs.keySet().stream().filter(id -> lab.trouble && id.startsWith("after") && id.contains("key-two")).count();
        long without = runs.keySet().stream().filter(id -> id.contains("no-key")).count();
        lab.log("check", "requests that ran with a key that no configuration ever held: " + unknown);
        lab.log("check", "requests that ran with a key that was taken away more than " + CONFIG_APPLY_MS + " ms before: " + dropped
                + ", without a key: " + without);
        if (runs.keySet().stream().noneMatch(id -> id.startsWith("before"))) {
            return Lab.COULD_NOT_RUN;
        }
        return unknown > 0 ? Lab.BROKEN : Lab.HELD;
    }

    private void send(List<Lab.Instance> instances, String phase) throws IOException {
        for (Lab.Instance instance : instances) {
            for (int n = 1; n <= 5; n++) {
                String end = "-" + instance.name + "-" + n;
                book(instance, phase + "-key-two" + end, KEY_TWO);
                book(instance, phase + "-unknown-key" + end, UNKNOWN);
                book(instance, phase + "-no-key" + end, "");
            }
        }
    }

    private void book(Lab.Instance instance, String id, String key) throws IOException {
        try (Lab.Client client = lab.new Client(instance, 0)) {
            client.key = key;
            client.send("POST", "/book/x", id, 2_500, "", "slab".getBytes());
            client.receive(4_000);
        }
    }
}
