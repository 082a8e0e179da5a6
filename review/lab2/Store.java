import java.io.IOException;
import java.io.PushbackInputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: one item, items by prefix, and watches. It loses nothing and is always up. */
final class Store {
    private record Item(String value, long rev, long created) {}

    private record Event(long rev, String key, String json) {}

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private long rev = 100;
    private final ServerSocket server = new ServerSocket();

    Store(String host) throws IOException {
        server.bind(new InetSocketAddress(host, 0), 256);
        Thread.ofVirtual().start(() -> {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    Thread.ofVirtual().start(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    synchronized void put(String key, String value) {
        rev++;
        Item before = items.get(key);
        Item item = new Item(Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), rev,
                before == null ? rev : before.created);
        items.put(key, item);
        events.add(new Event(rev, key, json(key, item)));
        notifyAll();
    }

    synchronized void delete(String key) {
        if (items.remove(key) != null) {
            rev++;
            events.add(new Event(rev, key, "{\"Key\":\"" + key + "\",\"Rev\":" + rev + ",\"Deleted\":true}"));
            notifyAll();
        }
    }

    private static String json(String key, Item i) {
        return "{\"Key\":\"" + key + "\",\"Value\":\"" + i.value + "\",\"Rev\":" + i.rev + ",\"Created\":" + i.created
                + ",\"Lease\":0}";
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            PushbackInputStream in = new PushbackInputStream(socket.getInputStream());
            for (Http.Head head = Http.head(in); head != null; head = Http.head(in)) {
                Http.body(in, head);
                String[] target = head.path().split("\\?", 2);
                Map<String, String> query = new HashMap<>();
                if (target.length > 1) {
                    for (String part : target[1].split("&")) {
                        String[] kv = part.split("=", 2);
                        query.put(kv[0], URLDecoder.decode(kv[1], StandardCharsets.UTF_8));
                    }
                }
                Thread.sleep(4);
                String[] answer = answer(target[0], query);
                Http.respond(socket.getOutputStream(), answer[0],
                        "Content-Type: application/json\r\nStore-Era: 1\r\n", answer[1]);
            }
        } catch (IOException e) {
            // The caller has left.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized String[] answer(String path, Map<String, String> query) throws InterruptedException {
        switch (path) {
            case "/v1/kv-key" -> {
                Item item = items.get(query.get("Key"));
                return item == null
                        ? new String[] {"404 Not Found", "{\"StoreRevision\":" + rev + "}"}
                        : new String[] {
                            "200 OK",
                            json(query.get("Key"), item).replaceAll("\\}$", ",\"StoreRevision\":" + rev + "}")
                        };
            }
            case "/v1/kv-range" -> {
                StringBuilder list = new StringBuilder();
                items.forEach((key, item) -> {
                    if (key.startsWith(query.get("PathPrefix")) && key.compareTo(query.getOrDefault("After", "")) > 0) {
                        list.append(list.isEmpty() ? "" : ",").append(json(key, item));
                    }
                });
                return new String[] {
                    "200 OK", "{\"Items\":[" + list + "],\"Truncated\":false,\"StoreRevision\":" + rev + "}"
                };
            }
            case "/v1/kv-watch" -> {
                long after = Long.parseLong(query.get("After"));
                long end = System.nanoTime() + Long.parseLong(query.get("WaitMs")) * 1_000_000;
                while (true) {
                    List<String> found = events.stream()
                            .filter(e -> e.rev > after && e.key.startsWith(query.get("PathPrefix")))
                            .map(Event::json)
                            .toList();
                    long left = (end - System.nanoTime()) / 1_000_000;
                    if (!found.isEmpty() || left <= 0) {
                        return new String[] {
                            "200 OK", "{\"events\":[" + String.join(",", found) + "],\"StoreRevision\":" + rev + "}"
                        };
                    }
                    wait(left);
                }
            }
            default -> {
                return new String[] {"404 Not Found", "{}"};
            }
        }
    }
}
