package org.verbenatally.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.verbenatally.core.Address;
import org.verbenatally.settings.EntrySettings;
import org.verbenatally.settings.LogSettings;

/** Reads the settings of an entry process: JSON with comments, validated against {@code entry-settings.schema.json}. */
public final class SettingsReader {
    private static final int MAX_BYTES = 1 << 16;
    private static final JsonChecker<EntrySettings> CHECKER =
            new JsonChecker<>(EntrySettings.class, "entry-settings.schema.json");

    private SettingsReader() {}

    /**
     * Reads a settings file of at most 64 KiB.
     *
     * @throws ConfigException if the settings are invalid; lists the faults
     * @throws IOException if the file cannot be read
     */
    public static EntrySettings read(Path file) throws ConfigException, IOException {
        if (Files.size(file) > MAX_BYTES) {
            throw new ConfigException(
                    file.toString(),
                    List.of(new ConfigException.Fault(0, "", "must be at most " + MAX_BYTES + " bytes")));
        }
        return read(file.toString(), Files.readAllBytes(file));
    }

    /**
     * Reads settings from bytes.
     *
     * @param source name of the document for error messages
     * @param json the document
     * @throws ConfigException if the settings are invalid; lists the faults
     */
    public static EntrySettings read(String source, byte[] json) throws ConfigException {
        Objects.requireNonNull(json, "json");
        EntrySettings settings = CHECKER.read(source, json);
        List<ConfigException.Fault> faults = new ArrayList<>();
        List<String> seeds = settings.getPeers().getSeeds();
        for (int i = 0; i < seeds.size(); i++) {
            try {
                Address.parse(seeds.get(i));
            } catch (IllegalArgumentException e) {
                String field = "/peers/seeds/" + i;
                int line = JsonChecker.lines(json).getOrDefault(field, 0);
                faults.add(new ConfigException.Fault(line, field, e.getMessage()));
            }
        }
        if (!faults.isEmpty()) {
            throw new ConfigException(source, faults);
        }
        if (settings.getLog() == null) {
            settings.setLog(new LogSettings());
        }
        return settings;
    }
}
