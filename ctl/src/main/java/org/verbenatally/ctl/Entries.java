package org.verbenatally.ctl;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.verbenatally.core.Address;

/**
 * Answers of the operator endpoints of several entries.
 *
 * @param answers one answer for each entry that gave one
 * @param silent one line for each entry that gave none
 */
record Entries(List<JsonNode> answers, List<String> silent) {
    private static final int TIMEOUT_MS = 3_000;
    private static final int HTTP_OK = 200;
    private static final int NOT_FOUND = 404;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Returns the options that all commands share which ask entries. */
    static Options options(String jsonDescription) {
        return new Options()
                .addOption(
                        Option.builder().longOpt("json").desc(jsonDescription).get());
    }

    /** Asks each address for a path; an entry that answers with 404 is left out of both lists. */
    static Entries ask(List<String> addresses, String path) throws UsageException {
        if (addresses.isEmpty()) {
            throw new UsageException("needs the operator address of at least one entry");
        }
        List<Address> parsed = parse(addresses);
        Entries entries = new Entries(new ArrayList<>(), new ArrayList<>());
        Vertx vertx = Vertx.vertx();
        try {
            HttpClient client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(TIMEOUT_MS));
            for (Address address : parsed) {
                try {
                    fetch(client, address, path).ifPresent(entries.answers::add);
                } catch (IOException e) {
                    entries.silent.add(address + ": " + e.getMessage());
                }
            }
        } finally {
            vertx.close();
        }
        return entries;
    }

    private static List<Address> parse(List<String> texts) throws UsageException {
        try {
            return texts.stream().map(Address::parse).toList();
        } catch (IllegalArgumentException e) {
            throw new UsageException(e.getMessage());
        }
    }

    private static Optional<JsonNode> fetch(HttpClient client, Address address, String path) throws IOException {
        Future<Optional<Buffer>> answer = client.request(HttpMethod.GET, address.port(), address.host(), path)
                .compose(HttpClientRequest::send)
                .compose(response -> switch (response.statusCode()) {
                    case HTTP_OK -> response.body().map(Optional::of);
                    case NOT_FOUND -> Future.succeededFuture(Optional.empty());
                    default -> Future.failedFuture("status " + response.statusCode());
                });
        try {
            Optional<Buffer> body =
                    answer.toCompletionStage().toCompletableFuture().get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            return body.isEmpty()
                    ? Optional.empty()
                    : Optional.of(MAPPER.readTree(body.get().getBytes()));
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e);
        } catch (TimeoutException e) {
            throw new IOException("no answer within " + TIMEOUT_MS + " ms", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /** Prints the entries that gave no answer. */
    void printSilent(Console console) {
        silent.forEach(text -> console.err().println("no answer from " + text));
    }

    /** Prints the answers as one JSON array. */
    void printJson(Console console) throws IOException {
        console.out().println(MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(answers));
    }
}
