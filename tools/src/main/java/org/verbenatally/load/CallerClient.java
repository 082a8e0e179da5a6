package org.verbenatally.load;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import org.verbenatally.core.Address;
import org.verbenatally.history.HistoryRecord;

/**
 * Callers of the system. Sends work to the entries in turn, resumes streams at another entry after a cut or silence,
 * gets idempotency keys, resends with the same key, and records what it saw. Each call runs on a virtual thread.
 */
public final class CallerClient implements AutoCloseable {
    private static final int MAX_CONNECTIONS = 20_000;

    private final CallerOptions options;
    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client;
    private final Consumer<HistoryRecord> history;
    private final AtomicInteger turn = new AtomicInteger();
    private final Map<Thread, CallRequest> open = new ConcurrentHashMap<>();

    /** Creates a client that records no history. */
    public CallerClient(CallerOptions options) {
        this(options, record -> {});
    }

    /**
     * Creates a client.
     *
     * @param history receives each copy sent, each token and each answer, from several threads
     */
    public CallerClient(CallerOptions options, Consumer<HistoryRecord> history) {
        this.options = options;
        this.history = history;
        client = vertx.createHttpClient(
                new HttpClientOptions()
                        .setConnectTimeout((int) options.connectTimeoutMs())
                        .setTcpNoDelay(true)
                        .setMaxHeaderSize(32_768),
                new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
    }

    /**
     * Sends work.
     *
     * @return the record; it never fails, also not when no entry answers
     */
    public CompletableFuture<CallRecord> send(CallRequest request) {
        CompletableFuture<CallRecord> result = new CompletableFuture<>();
        Call call = new Call(this, request, turn.getAndIncrement());
        Thread.ofVirtual().name("call").start(() -> {
            open.put(Thread.currentThread(), request);
            try {
                result.complete(call.run());
            } catch (RuntimeException e) {
                result.completeExceptionally(e);
            } finally {
                open.remove(Thread.currentThread());
            }
        });
        return result;
    }

    /** Interrupts open calls, which end with what they know, and closes all connections. */
    @Override
    public void close() {
        open.keySet().forEach(Thread::interrupt);
        try {
            vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException("the client did not close", e);
        }
    }

    CallerOptions options() {
        return options;
    }

    void note(HistoryRecord record) {
        history.accept(record);
    }

    Address entry(int index) {
        return options.entries().get(Math.floorMod(index, options.entries().size()));
    }

    Exchange exchange(Address entry, HttpMethod method, String path, Map<String, String> headers, Buffer body) {
        RequestOptions target = new RequestOptions()
                .setHost(entry.host())
                .setPort(entry.port())
                .setMethod(method)
                .setURI(path);
        headers.forEach(target::putHeader);
        return new Exchange(client, target, body);
    }
}
