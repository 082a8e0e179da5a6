package org.verbenatally.entry.operator;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.Test;
import org.verbenatally.core.KindName;
import org.verbenatally.core.OrganisationId;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class ErrorBudgetTest {
    private static final KindName GUIDE = new KindName("guide");
    private static final OrganisationId TANA = new OrganisationId("tana");

    private final AtomicLong nanos = new AtomicLong(5);
    private final ErrorBudget budget = new ErrorBudget(nanos::get);

    /** Guards against missed requests that are counted after their window has passed, or not counted within it. */
    @Test
    void windowsExcludeOldRequests() {
        recordResults(8, ServiceResult.MET);
        recordResults(1, ServiceResult.LATE);
        recordResults(1, ServiceResult.LOST);
        assertThat(window(0).getDouble("burnRate")).isEqualTo(0.2 / 0.05, within(1e-9));

        nanos.addAndGet(TimeUnit.MINUTES.toNanos(10));
        assertThat(window(0).getLong("requests")).isZero();
        assertThat(window(1).getLong("missed")).isEqualTo(2);
        assertThat(window(1).getLong("late")).isEqualTo(1);

        nanos.addAndGet(TimeUnit.MINUTES.toNanos(55));
        assertThat(window(2).getLong("requests")).isZero();
        assertThat(budget.report(0.95).getJsonArray("organisations")).isEmpty();
    }

    /** Guards against a report that omits the organisations with the most missed requests. */
    @Test
    void organisationsThatMissedMostComeFirst() {
        budget.recordResult(GUIDE, new OrganisationId("gibe"), ServiceResult.MET);
        recordResults(2, ServiceResult.STALLED);
        JsonObject first = budget.report(0.95).getJsonArray("organisations").getJsonObject(0);
        assertThat(first.getString("organisation")).isEqualTo("tana");
        assertThat(first.getLong("stalled")).isEqualTo(2);
    }

    private void recordResults(int times, ServiceResult result) {
        for (int i = 0; i < times; i++) {
            budget.recordResult(GUIDE, TANA, result);
        }
    }

    private JsonObject window(int index) {
        return budget.report(0.95)
                .getJsonArray("kinds")
                .getJsonObject(0)
                .getJsonArray("windows")
                .getJsonObject(index);
    }
}
