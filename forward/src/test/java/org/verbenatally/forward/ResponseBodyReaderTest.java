package org.verbenatally.forward;

import io.vertx.core.buffer.Buffer;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ResponseBodyReaderTest {

    /** Guards against errors, and so logs, that hold what a target has sent to a caller. */
    @Test
    void chunkIsNamedByItsLength() {
        assertThat(new ResponseBodyReader.Piece(Buffer.buffer("secret"))).hasToString("Piece[6 bytes]");
    }
}
