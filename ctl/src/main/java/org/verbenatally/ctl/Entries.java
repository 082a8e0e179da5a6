package org.verbenatally.ctl;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.verbenatally.core.Address;

/**
 * Answers of the operator endpoints of several entries.
 *
 * @param answers one answer for each entry that gave one
 * @param silent one line for each entry that gave none
 */
record Entries(List<JsonNode> answers, List<String> silent) {
    private static final Duration TIMEOUT = Duration.ofSeconds(3);
    private static final int HTTP_OK = 200;
    private static final int NOT_FOUND = 404;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Asks each address for a path; an entry that answers with 404 is left out of both lists. */
    static Entries ask(List<String> addresses, String path) throws UsageException {
        if (addresses.isEmpty()) {
            throw new UsageException("needs the operator address of at least one entry");
        }
        Entries entries = new Entries(new ArrayList<>(), new ArrayList<>());
        for (Address address : parse(addresses)) {
            try {
                fetch(address, path).ifPresent(entries.answers::add);
            } catch (IOException e) {
                entries.silent.add(address + ": " + (e.getMessage() == null ? "cannot connect" : e.getMessage()));
            }
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

    private static Optional<JsonNode> fetch(Address address, String path) throws IOException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(TIMEOUT)
                .build();
        try (HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build()) {
            HttpResponse<byte[]> response = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
            if (response.statusCode() == NOT_FOUND) {
                return Optional.empty();
            }
            if (response.statusCode() != HTTP_OK) {
                throw new IOException("status " + response.statusCode());
            }
            return Optional.of(MAPPER.readTree(response.body()));
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
