package org.verbenatally.entry.key;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.verbenatally.core.Address;
import org.verbenatally.core.ConfigVersion;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.Incarnation;
import org.verbenatally.core.InstanceId;
import org.verbenatally.core.KindName;
import org.verbenatally.core.OrganisationId;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;
import org.verbenatally.core.StepException;
import org.verbenatally.peer.MemberInfo;
import org.verbenatally.peer.PeerNetwork;
import org.verbenatally.time.ManualTimer;
import org.verbenatally.wire.ForwardCall;
import org.verbenatally.wire.ForwardResult;
import org.verbenatally.wire.KeyTransfer;

/** Entries that exchange forwarded calls and key tables in memory, with a runner that counts the runs of each key. */
final class KeyFleet {
    static final OrganisationId ORGANISATION = new OrganisationId("tana");
    static final KindName KIND = new KindName("order-booking");

    final ManualTimer timer = new ManualTimer();
    final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Map<InstanceId, Node> nodes = new ConcurrentHashMap<>();
    private final Map<Announcement, InstanceId> announcements = new ConcurrentHashMap<>();

    private record Announcement(InstanceId owner, Incarnation incarnation) {}

    /** One entry, which is also its own peer network. */
    final class Node implements PeerNetwork {
        private final InstanceId id;
        private final Incarnation incarnation;
        final KeyedCalls calls;
        volatile boolean reachable = true;
        volatile KeyedCallRunner runner = call -> CompletableFuture.completedFuture(
                CallResult.completed(200, ("{\"run\":" + count(call.key()) + "}").getBytes(), "service"));

        Node(String name, long number) {
            id = new InstanceId(name);
            incarnation = new Incarnation(number);
            KeyIssuer issuer = new KeyIssuer(id, incarnation, timer::nanos);
            calls = new KeyedCalls(issuer, call -> runner.run(call), this, timer);
        }

        String issue() {
            return calls.issue(ORGANISATION, KIND).orElseThrow();
        }

        CompletableFuture<CallResult> call(String key) {
            return calls.call(new KeyedCallRunner.KeyedCall(
                    "r", ORGANISATION, KIND, key, timer.nanos() + 5_000_000_000L, "{}".getBytes()));
        }

        Outcome outcome(String key) {
            return call(key).join().outcome();
        }

        /** Transfers the tables to the successor and announces it. */
        void transferTo(Node successor) {
            sendTables(successor);
            announcements.put(new Announcement(id, incarnation), successor.id);
            calls.store().endTransfer(Optional.of(successor.id));
        }

        /** Transfers the tables to the successor, but loses its confirmation. */
        void transferUnconfirmedTo(Node successor) {
            sendTables(successor);
            calls.store().endTransfer(Optional.empty());
        }

        private void sendTables(Node successor) {
            calls.store().beginTransfer();
            for (List<KeyTransfer> table : calls.store().transferParts()) {
                table.forEach(part -> successor.calls.store().adopt(id, part));
            }
        }

        @Override
        public InstanceId self() {
            return id;
        }

        @Override
        public Incarnation incarnation() {
            return incarnation;
        }

        @Override
        public List<MemberInfo> members() {
            List<MemberInfo> members = new ArrayList<>();
            nodes.values()
                    .forEach(node -> members.add(new MemberInfo(
                            node.id,
                            node.incarnation,
                            new Address("127.0.0.1", 1),
                            new FailureDomain("Bole"),
                            MemberInfo.Status.LIVE,
                            ConfigVersion.NONE,
                            Optional.empty())));
            return members;
        }

        @Override
        public CompletableFuture<ForwardResult> forward(
                InstanceId owner, Incarnation ownerIncarnation, ForwardCall call, Duration timeout) {
            Node node = nodes.get(owner);
            if (node == null || !node.reachable || !node.incarnation.equals(ownerIncarnation)) {
                return CompletableFuture.failedFuture(
                        new StepException(Step.FORWARD, owner.value(), Outcome.UNKNOWN, "cannot be reached"));
            }
            return node.calls.onForward(id, call);
        }

        @Override
        public CompletableFuture<Void> transferKeys(InstanceId successor, List<KeyTransfer> parts, Duration timeout) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void announceKeySuccessor(InstanceId successor) {}

        @Override
        public boolean isKeySuccessorOf(InstanceId owner, Incarnation ownerIncarnation) {
            return id.equals(announcements.get(new Announcement(owner, ownerIncarnation)));
        }

        @Override
        public void announceLeaving() {}

        @Override
        public void sendStateNow() {}

        @Override
        public CompletableFuture<Void> close() {
            return CompletableFuture.completedFuture(null);
        }
    }

    Node start(String name, long incarnation) {
        Node node = new Node(name, incarnation);
        nodes.put(node.id, node);
        return node;
    }

    int count(String key) {
        return runs.computeIfAbsent(key, k -> new AtomicInteger()).incrementAndGet();
    }

    int runsOf(String key) {
        AtomicInteger count = runs.get(key);
        return count == null ? 0 : count.get();
    }
}
