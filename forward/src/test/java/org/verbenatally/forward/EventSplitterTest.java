package org.verbenatally.forward;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.vertx.core.buffer.Buffer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EventSplitterTest {

    /** Guards against events without end of many streams that together take more than the heap. */
    @Test
    void incompleteEventsShareOneLimitOfMemory() throws Exception {
        Buffer chunk = Buffer.buffer(new byte[8_192]);
        BodyMemory memory = new BodyMemory(20L * chunk.length());
        List<EventSplitter> splitters =
                Stream.generate(() -> new EventSplitter(memory)).limit(10).toList();
        int[] kept = new int[splitters.size()];
        int refused = 0;
        for (int i = 0; i < 100; i++) {
            int at = i % splitters.size();
            try {
                splitters.get(at).append(chunk.copy());
                kept[at] += chunk.length();
            } catch (EventSplitter.EventTooLongException e) {
                kept[at] = 0;
                refused++;
            }
            assertThat(IntStream.of(kept).sum())
                    .isLessThanOrEqualTo(20 * chunk.length() + splitters.size() * EventSplitter.UNRESERVED_BYTES);
        }
        assertThat(refused).isPositive();
        EventSplitter usual = new EventSplitter(memory);
        assertThat(usual.append(Buffer.buffer("id: 1\ndata: x")).length()).isZero();
        assertThat(usual.append(Buffer.buffer("\n\n")).toString()).isEqualTo("id: 1\ndata: x\n\n");
        splitters.forEach(EventSplitter::discardIncompleteEvent);
        assertThat(memory.reserved()).isZero();
    }

    /** Guards against memory that stays reserved for an event that has ended. */
    @Test
    void endOfLongEventReleasesItsMemory() throws Exception {
        BodyMemory memory = new BodyMemory();
        EventSplitter splitter = new EventSplitter(memory);
        String text = "id: 1\ndata: " + "x".repeat(100_000) + "\n\n";
        assertThat(splitter.append(Buffer.buffer(text.substring(0, 90_000))).length())
                .isZero();
        assertThat(memory.reserved()).isEqualTo(90_000 - EventSplitter.UNRESERVED_BYTES);
        assertThat(splitter.append(Buffer.buffer(text.substring(90_000) + "id: 2"))
                        .toString())
                .isEqualTo(text);
        assertThat(memory.reserved()).isZero();
        assertThat(splitter.lastId()).contains("1");
    }

    /** Guards against events that are torn, lost or duplicated when their bytes arrive in arbitrary chunks. */
    @Property(tries = 300, seed = "7")
    void returnsOnlyCompleteEvents(
            @ForAll @IntRange(min = 1, max = 20) int events,
            @ForAll @Size(max = 30) List<@IntRange(min = 1, max = 25) Integer> chunkSizes,
            @ForAll boolean crlf)
            throws EventSplitter.EventTooLongException {
        String line = crlf ? "\r\n" : "\n";
        StringBuilder text = new StringBuilder();
        for (int i = 1; i <= events; i++) {
            text.append("id: ")
                    .append(i)
                    .append(line)
                    .append("data: t")
                    .append(i)
                    .append(line)
                    .append(line);
        }
        Buffer all = Buffer.buffer(text.toString());
        EventSplitter splitter = new EventSplitter(new BodyMemory());
        Buffer returned = Buffer.buffer();
        int at = 0;
        for (int size : chunkSizes) {
            int end = Math.min(all.length(), at + size);
            returned.appendBuffer(splitter.append(all.getBuffer(at, end)));
            at = end;
            assertThat(returned.length() == 0 || returned.toString().endsWith(line + line))
                    .isTrue();
        }
        returned.appendBuffer(splitter.append(all.getBuffer(at, all.length())));
        assertThat(returned).isEqualTo(all);
        assertThat(splitter.lastId()).contains(Integer.toString(events));
        assertThat(splitter.count()).isEqualTo(events);
        assertThat(splitter.hasIncompleteEvent()).isFalse();
    }
}
