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
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import org.verbenatally.core.Address;
import org.verbenatally.history.HistoryRecord;
import org.verbenatally.http.GuardedHttpClient;

/**
 * Client that acts as the callers of the system. It sends work to the entries in turn, resumes a stream at another
 * entry when the connection is lost or no data arrives, requests idempotency keys, retries with the same key, and
 * records what it observes. Each call runs on a virtual thread of its own.
 */
public final class CallerClient implements AutoCloseable {
    private static final int MAX_CONNECTIONS = 20_000;

    private final CallerOptions options;
    private final Vertx vertx = Vertx.vertx();
    private final GuardedHttpClient client;
    private final Consumer<HistoryRecord> history;
    private final AtomicInteger nextEntry = new AtomicInteger();
    private final Map<Thread, CallRequest> openCalls = new ConcurrentHashMap<>();

    /** Creates a client that records no history. */
    public CallerClient(CallerOptions options) {
        this(options, record -> {});
    }

    /**
     * Creates a client.
     *
     * @param history receives a record of each copy sent, each token and each response; called from several threads
     */
    public CallerClient(CallerOptions options, Consumer<HistoryRecord> history) {
        this.options = options;
        this.history = history;
        client = new GuardedHttpClient(
                vertx,
                new HttpClientOptions()
                        .setConnectTimeout((int) options.connectTimeoutMs())
                        .setTcpNoDelay(true)
                        .setMaxHeaderSize(32_768),
                new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
    }

    /**
     * Sends work.
     *
     * @return the record; the future completes normally even if no entry responds
     */
    public CompletableFuture<CallRecord> send(CallRequest request) {
        CompletableFuture<CallRecord> result = new CompletableFuture<>();
        Call call = new Call(this, request, nextEntry.getAndIncrement());
        Thread.ofVirtual().name("call").start(() -> {
            openCalls.put(Thread.currentThread(), request);
            try {
                result.complete(call.run());
            } catch (RuntimeException e) {
                result.completeExceptionally(e);
            } finally {
                openCalls.remove(Thread.currentThread());
            }
        });
        return result;
    }

    /** Interrupts open calls, which end with outcome {@code unknown}, and closes all connections. */
    @Override
    public void close() {
        openCalls.keySet().forEach(Thread::interrupt);
        try {
            vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException("the client could not be closed", e);
        }
    }

    CallerOptions options() {
        return options;
    }

    void recordHistory(HistoryRecord record) {
        history.accept(record);
    }

    Address entry(int index) {
        return options.entryAddresses()
                .get(Math.floorMod(index, options.entryAddresses().size()));
    }

    Exchange startExchange(Address entry, HttpMethod method, String path, Map<String, String> headers, Buffer body) {
        RequestOptions requestOptions = new RequestOptions()
                .setHost(entry.host())
                .setPort(entry.port())
                .setMethod(method)
                .setURI(path);
        headers.forEach(requestOptions::putHeader);
        return new Exchange(client, requestOptions, body);
    }
}
