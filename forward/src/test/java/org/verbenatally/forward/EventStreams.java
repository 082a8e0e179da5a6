package org.verbenatally.forward;

import java.io.IOException;
import java.io.OutputStream;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Numbered events of generations, and the chunked responses that carry them. */
final class EventStreams {
    private EventStreams() {}

    /** Returns the events from the first to the last number. */
    static String events(int first, int last) {
        return IntStream.rangeClosed(first, last).mapToObj(EventStreams::event).collect(Collectors.joining());
    }

    private static String event(int number) {
        return "id: " + number + "\ndata: t" + number + "\n\n";
    }

    /** Returns the number of the first event that a request asks for. */
    static int firstEvent(String request) {
        String last = RawTarget.header(request, TestCodec.LAST_EVENT);
        return last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
    }

    static void writeHead(OutputStream out, String request) throws IOException {
        String id = RawTarget.header(request, TestCodec.ID);
        RawTarget.write(
                out,
                "HTTP/1.1 200 OK\r\nTest-Id: " + id + "\r\nTest-Signed: yes\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    static void writeEvent(OutputStream out, int number) throws IOException {
        String event = event(number);
        RawTarget.write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
    }

    static void writeEnd(OutputStream out) throws IOException {
        RawTarget.write(out, "0\r\n\r\n");
    }
}
