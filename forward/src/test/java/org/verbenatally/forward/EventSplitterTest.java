package org.verbenatally.forward;

import java.util.List;

import io.vertx.core.buffer.Buffer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.assertj.core.api.Assertions.assertThat;

class EventSplitterTest {

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
        EventSplitter splitter = new EventSplitter();
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
