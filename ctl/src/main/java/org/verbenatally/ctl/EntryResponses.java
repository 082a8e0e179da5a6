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
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.verbenatally.core.Address;
import org.verbenatally.http.GuardedHttpClient;
import org.verbenatally.http.ResponseHeads;

/**
 * Responses of the operator endpoints of several entries.
 *
 * @param responses JSON body of each entry that responded with status 200
 * @param failures one line with address and reason for each entry that could not be queried
 */
record EntryResponses(List<JsonNode> responses, List<String> failures) {
    private static final int TIMEOUT_MS = 3_000;
    private static final int HTTP_OK = 200;
    private static final int NOT_FOUND = 404;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Returns the options shared by all commands that query entries. */
    static Options options(String jsonDescription) {
        return new Options()
                .addOption(
                        Option.builder().longOpt("json").desc(jsonDescription).get());
    }

    /**
     * Requests a path from each address, one after the other. An entry that responds with status 404 is left out of
     * both lists.
     */
    static EntryResponses query(List<String> addresses, String path) throws UsageException {
        if (addresses.isEmpty()) {
            throw new UsageException("needs the operator address of at least one entry");
        }
        List<Address> parsed = parse(addresses);
        EntryResponses result = new EntryResponses(new ArrayList<>(), new ArrayList<>());
        Vertx vertx = Vertx.vertx();
        try {
            // Responses do not state to which request they belong, and an address may be given twice.
            GuardedHttpClient client = new GuardedHttpClient(
                    vertx, new HttpClientOptions().setConnectTimeout(TIMEOUT_MS).setKeepAlive(false));
            for (Address address : parsed) {
                try {
                    fetch(client, address, path).ifPresent(result.responses::add);
                } catch (IOException e) {
                    result.failures.add(address + ": " + e.getMessage());
                }
            }
        } finally {
            vertx.close();
        }
        return result;
    }

    private static List<Address> parse(List<String> texts) throws UsageException {
        try {
            return texts.stream().map(Address::parse).toList();
        } catch (IllegalArgumentException e) {
            throw new UsageException(e.getMessage());
        }
    }

    private static Optional<JsonNode> fetch(GuardedHttpClient client, Address address, String path) throws IOException {
        Future<Optional<Buffer>> bodyOrEmpty = client.request(new RequestOptions()
                        .setMethod(HttpMethod.GET)
                        .setHost(address.host())
                        .setPort(address.port())
                        .setURI(path))
                .compose(HttpClientRequest::send)
                .compose(EntryResponses::checkHead)
                .compose(response -> switch (response.statusCode()) {
                    case HTTP_OK -> response.body().map(Optional::of);
                    case NOT_FOUND -> Future.succeededFuture(Optional.empty());
                    default -> Future.failedFuture("status " + response.statusCode());
                });
        try {
            Optional<Buffer> body =
                    bodyOrEmpty.toCompletionStage().toCompletableFuture().get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            return body.isEmpty()
                    ? Optional.empty()
                    : Optional.of(MAPPER.readTree(body.get().getBytes()));
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e);
        } catch (TimeoutException e) {
            throw new IOException("no response within " + TIMEOUT_MS + " ms", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private static Future<HttpClientResponse> checkHead(HttpClientResponse response) {
        return ResponseHeads.isJoined(response)
                ? Future.failedFuture("the head of the response holds that of another one")
                : Future.succeededFuture(response);
    }

    /** Prints each entry that could not be queried, with the reason. */
    void printFailures(Console console) {
        failures.forEach(failure -> console.err().println("cannot query " + failure));
    }

    /** Prints the responses as one JSON array. */
    void printJson(Console console) throws IOException {
        console.out().println(MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(responses));
    }
}
