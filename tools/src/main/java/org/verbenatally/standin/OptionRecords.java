package org.verbenatally.standin;

import java.util.Map;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/** Replaces components of option records by name, for the command line and the admin routes. */
public final class OptionRecords {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private OptionRecords() {}

    /**
     * Returns a copy of a record with some components replaced.
     *
     * @param <T> the record type
     * @param options the record to copy
     * @param changes new values by component name; numbers and booleans may be given as text
     * @throws IllegalArgumentException if a name is unknown or a value is invalid
     */
    @SuppressWarnings("unchecked")
    public static <T extends Record> T with(T options, Map<String, ?> changes) {
        Map<String, Object> values = MAPPER.convertValue(options, Map.class);
        changes.forEach((name, value) -> {
            if (!values.containsKey(name)) {
                throw new IllegalArgumentException("unknown option " + name + ", known options: " + values.keySet());
            }
            values.put(name, value);
        });
        return (T) MAPPER.convertValue(values, options.getClass());
    }

    /** Returns the values of a record by component name. */
    @SuppressWarnings("unchecked")
    static Map<String, Object> values(Record options) {
        return MAPPER.convertValue(options, Map.class);
    }
}
