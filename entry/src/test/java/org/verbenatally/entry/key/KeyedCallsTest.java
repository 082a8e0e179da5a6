package org.verbenatally.entry.key;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.verbenatally.core.KindName;
import org.verbenatally.core.OrganisationId;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;

import static org.assertj.core.api.Assertions.assertThat;

class KeyedCallsTest {
    private final KeyFleet fleet = new KeyFleet();
    private final KeyFleet.Node a = fleet.start("a", 11);
    private final KeyFleet.Node b = fleet.start("b", 12);

    /** Guards against a second run when calls with the same key arrive at several entries. */
    @Test
    void duplicatesAtAllEntriesGetTheResultOfOneRun() {
        String key = a.issue();

        byte[] first = b.call(key).join().body();

        assertThat(a.call(key).join().body()).isEqualTo(first);
        assertThat(b.call(key).join().body()).isEqualTo(first);
        assertThat(fleet.runsOf(key)).isEqualTo(1);
    }

    /** Guards against the outcome not-run for a call that its unreachable owner may have run. */
    @Test
    void callIsUnknownWhileItsOwnerCannotBeReached() {
        String key = a.issue();
        a.call(key).join();
        a.reachable = false;

        assertThat(b.outcome(key)).isEqualTo(Outcome.UNKNOWN);

        a.reachable = true;
        assertThat(b.outcome(key)).isEqualTo(Outcome.DONE);
        assertThat(fleet.runsOf(key)).isEqualTo(1);
    }

    /** Guards against a second run of a key that an earlier incarnation issued and may have run. */
    @Test
    void keyOfAnEarlierIncarnationIsUnknownAndNotRun() {
        String key = a.issue();
        KeyFleet.Node restarted = fleet.start("a", 13);

        assertThat(restarted.outcome(key)).isEqualTo(Outcome.UNKNOWN);
        assertThat(b.outcome(key)).isEqualTo(Outcome.UNKNOWN);
        assertThat(fleet.runsOf(key)).isZero();
    }

    /** Guards against running a call after its caller has received the outcome not-run, which is final. */
    @Test
    void notRunIsFinal() {
        String key = a.issue();
        a.runner = call ->
                CompletableFuture.completedFuture(CallResult.failed(Outcome.NOT_RUN, Step.ADMIT, "a", "overloaded"));
        assertThat(b.outcome(key)).isEqualTo(Outcome.NOT_RUN);
        a.runner = call -> CompletableFuture.completedFuture(CallResult.completed(200, new byte[0], "s"));

        assertThat(a.outcome(key)).isEqualTo(Outcome.NOT_RUN);
    }

    /** Guards against running an expired key, whose record may have been evicted after an earlier run. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void expiredKeyIsUnknownAndNotRun(boolean usedBefore) {
        String key = a.issue();
        if (usedBefore) {
            a.call(key).join();
        }
        fleet.timer.advance(Duration.ofMillis(KeyTable.RETENTION_MS + 1));
        a.calls.store().evictExpired();

        assertThat(a.outcome(key)).isEqualTo(Outcome.UNKNOWN);
        assertThat(fleet.runsOf(key)).isEqualTo(usedBefore ? 1 : 0);
    }

    /** Guards against a run with a forged key, or one that was issued for another organisation or kind. */
    @Test
    void keyOfAnotherOrganisationOrKindOrAForgedKeyIsNotRun() {
        String key = a.issue();
        char last = key.charAt(key.length() - 3);
        String forged =
                key.substring(0, key.length() - 3) + (last == 'A' ? 'B' : 'A') + key.substring(key.length() - 2);
        long deadline = fleet.timer.nanos() + 1_000_000_000L;

        assertThat(a.outcome(forged)).isEqualTo(Outcome.NOT_RUN);
        assertThat(a.outcome("no key")).isEqualTo(Outcome.NOT_RUN);
        assertThat(a.calls
                        .call(new KeyedCallRunner.KeyedCall(
                                "r", new OrganisationId("gibe"), KeyFleet.KIND, key, deadline, new byte[0]))
                        .join()
                        .outcome())
                .isEqualTo(Outcome.NOT_RUN);
        assertThat(a.calls
                        .call(new KeyedCallRunner.KeyedCall(
                                "r", KeyFleet.ORGANISATION, new KindName("other"), key, deadline, new byte[0]))
                        .join()
                        .outcome())
                .isEqualTo(Outcome.NOT_RUN);
        assertThat(fleet.runs).isEmpty();
    }

    /** Guards against returning the response of the first call for a call with the same key but another body. */
    @Test
    void anotherBodyUnderAUsedKeyIsUnknownAndNotRun() {
        String key = a.issue();
        a.call(key).join();

        CallResult result = a.calls
                .call(new KeyedCallRunner.KeyedCall(
                        "r",
                        KeyFleet.ORGANISATION,
                        KeyFleet.KIND,
                        key,
                        fleet.timer.nanos() + 1_000_000_000L,
                        "{\"other\":1}".getBytes()))
                .join();

        assertThat(result.outcome()).isEqualTo(Outcome.UNKNOWN);
        assertThat(fleet.runsOf(key)).isEqualTo(1);
    }

    /** Guards against the loss of used and unused keys in a graceful shutdown. */
    @Test
    void successorDecidesAboutTransferredKeys() {
        String used = a.issue();
        byte[] first = a.call(used).join().body();
        String unused = a.issue();
        fleet.timer.advance(Duration.ofMinutes(5));

        a.transferTo(b);

        assertThat(b.call(used).join().body()).isEqualTo(first);
        assertThat(b.outcome(unused)).isEqualTo(Outcome.DONE);
        assertThat(a.outcome(unused)).as("forwarded to the successor").isEqualTo(Outcome.DONE);
        assertThat(fleet.runsOf(used)).isEqualTo(1);
        assertThat(fleet.runsOf(unused)).isEqualTo(1);
    }

    /** Guards against two instances that both decide about a key after the confirmation of a transfer was lost. */
    @Test
    void successorWithoutAnAnnouncementDoesNotDecide() {
        String key = a.issue();
        a.transferUnconfirmedTo(b);

        assertThat(a.outcome(key)).as("the owner still decides").isEqualTo(Outcome.DONE);
        assertThat(b.outcome(key)).as("forwarded to the owner").isEqualTo(Outcome.DONE);
        assertThat(fleet.runsOf(key)).isEqualTo(1);

        a.reachable = false;
        assertThat(b.outcome(a.issue())).isEqualTo(Outcome.UNKNOWN);
    }

    /** Guards against a second run at a successor that did not confirm, after another one adopted the keys. */
    @Test
    void onlyTheAnnouncedSuccessorDecides() {
        KeyFleet.Node c = fleet.start("c", 14);
        String key = a.issue();
        a.transferUnconfirmedTo(b);
        a.transferTo(c);

        assertThat(c.outcome(key)).isEqualTo(Outcome.DONE);
        b.outcome(key);
        assertThat(fleet.runsOf(key)).isEqualTo(1);

        KeyFleet.Node restarted = fleet.start("a", 15);
        restarted.transferTo(b);
        b.outcome(key);
        assertThat(fleet.runsOf(key))
                .as("the announcement of a later incarnation does not count")
                .isEqualTo(1);
    }

    /** Guards against keys without a deciding instance after a rolling replacement under the same ids. */
    @Test
    void tablesOutliveTheRestartOfTheirSenders() {
        String key = a.issue();
        a.transferTo(b);
        KeyFleet.Node restarted = fleet.start("a", 15);

        b.transferTo(restarted);

        assertThat(restarted.outcome(key)).isEqualTo(Outcome.DONE);
        assertThat(fleet.runsOf(key)).isEqualTo(1);
    }

    /** Guards against a transfer that resets the age of keys, which could run again once their records are evicted. */
    @Test
    void transferKeepsTheAgeOfKeys() {
        String unused = a.issue();
        fleet.timer.advance(Duration.ofMinutes(20));
        a.transferTo(b);
        fleet.timer.advance(Duration.ofMinutes(11));

        assertThat(b.outcome(unused)).isEqualTo(Outcome.UNKNOWN);
        assertThat(fleet.runsOf(unused)).isZero();
    }

    /** Guards against a run at the old owner that is missing from the transferred table. */
    @Test
    void callsDuringATransferWaitForItsEnd() {
        String key = a.issue();
        a.calls.store().beginTransfer();
        CompletableFuture<CallResult> pending = a.call(key);
        assertThat(pending).isNotDone();
        assertThat(fleet.runsOf(key)).isZero();

        a.calls.store().endTransfer(Optional.empty());

        assertThat(pending.join().outcome()).isEqualTo(Outcome.DONE);
        assertThat(fleet.runsOf(key)).isEqualTo(1);
    }

    /** Guards against new keys about which no instance decides after the shutdown. */
    @Test
    void noKeysAreIssuedAfterIssuingWasStopped() {
        a.calls.stopIssuing();

        assertThat(a.calls.issue(KeyFleet.ORGANISATION, KeyFleet.KIND)).isEmpty();
    }
}
