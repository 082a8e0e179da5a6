package org.verbenatally.http;

import java.util.Map;
import java.util.regex.Pattern;

import io.vertx.core.http.HttpClientResponse;

/** Checks of the heads of responses that the decoder does not make. */
public final class ResponseHeads {
    /** Accepts the case and white space that the decoder does, which are more than the standard allows. */
    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/\\d\\.\\d[\\s\\p{Cntrl}]+\\d{3}", Pattern.CASE_INSENSITIVE);

    private ResponseHeads() {}

    /**
     * Returns whether the head was joined from those of two responses. The decoder continues a head that was broken off
     * with whatever follows on the connection: the status may then be that of the first response and the fields those
     * of the second, whose status line is within the head.
     */
    public static boolean isJoined(HttpClientResponse response) {
        if (containsStatusLine(response.statusMessage())) {
            return true;
        }
        for (Map.Entry<String, String> field : response.headers()) {
            if (containsStatusLine(field.getKey()) || containsStatusLine(field.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean containsStatusLine(String text) {
        return text != null && STATUS_LINE.matcher(text).find();
    }
}
