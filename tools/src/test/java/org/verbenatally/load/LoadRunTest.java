package org.verbenatally.load;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.verbenatally.core.Address;
import org.verbenatally.standin.EngineOptions;
import org.verbenatally.standin.EngineStandin;
import org.verbenatally.standin.OptionRecords;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the plan, the run and the results of a load experiment. */
class LoadRunTest {
    private static final Address UNUSED_ADDRESS = new Address("127.0.0.1", 1);

    private static LoadOptions options(
            String deployment, Address entry, List<Address> engines, String burst, double factor) {
        LoadOptions base = LoadOptions.of(Workload.of(deployment, 0.02), List.of(entry), engines, 60);
        return new LoadOptions(
                base.workload(),
                base.callers(),
                base.entryAddresses(),
                base.engineAddresses(),
                base.rate(),
                2,
                0,
                20,
                7,
                factor,
                1,
                2,
                burst,
                false);
    }

    /**
     * Runs with and without a burst can only be compared if the burst does not change the other organisations'
     * requests.
     */
    @Test
    void burstOfOneOrganisationLeavesTheOthersUnchanged() {
        var steady = ArrivalPlan.of(options("abay", UNUSED_ADDRESS, List.of(), "org-1", 1));
        var burst = ArrivalPlan.of(options("abay", UNUSED_ADDRESS, List.of(), "org-1", 5));
        assertThat(burst.size()).isGreaterThan(steady.size());
        assertThat(withoutBurstOrganisation(burst)).isEqualTo(withoutBurstOrganisation(steady));
    }

    private static List<Arrival> withoutBurstOrganisation(List<Arrival> plan) {
        return plan.stream()
                .filter(a -> !a.request().organisation().equals("org-1"))
                .toList();
    }

    @ParameterizedTest
    @ValueSource(strings = {"abay", "aarhus"})
    void measuresEveryPlannedRequestAndWritesTheFiles(String deployment, @TempDir Path out) throws Exception {
        EngineOptions engineOptions = OptionRecords.with(EngineOptions.defaults("e1"), Map.of("stepBaseMs", 1));
        try (EngineStandin engine = new EngineStandin(engineOptions)) {
            Address target = new Address("127.0.0.1", engine.start());
            try (ScriptedEntry entry = new ScriptedEntry(List.of(target))) {
                LoadOptions options = options(deployment, entry.start(), List.of(target), "", 1);
                LoadResult result = new LoadRun(options).run();
                result.write(out);
                JsonObject all = result.summary().getJsonObject("all");
                int planned = ArrivalPlan.of(options).size();
                assertThat(all.getInteger("requests")).isEqualTo(planned);
                assertThat(all.getInteger("done")).isEqualTo(planned);
                assertThat(result.summary().getJsonArray("violations")).isEmpty();
                assertThat(Files.readAllLines(out.resolve("requests.csv"))).hasSize(planned + 1);
                assertThat(out.resolve("latency.png")).isNotEmptyFile();
                assertThat(SummaryComparison.table(result.summary(), result.summary()))
                        .contains("all.done")
                        .contains("1.000");
            }
        }
    }
}
