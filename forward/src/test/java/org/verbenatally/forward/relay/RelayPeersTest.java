package org.verbenatally.forward.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.verbenatally.core.Address;
import org.verbenatally.core.ConfigVersion;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.Incarnation;
import org.verbenatally.core.InstanceId;
import org.verbenatally.core.ServiceName;
import org.verbenatally.peer.MemberInfo;
import org.verbenatally.time.ManualTimer;

import static org.assertj.core.api.Assertions.assertThat;

class RelayPeersTest {
    private static final FailureDomain HERE = new FailureDomain("here");
    private static final FailureDomain THERE = new FailureDomain("there");
    private static final ServiceName SERVICE = new ServiceName("s");
    private static final ConfigVersion VERSION = new ConfigVersion(5);

    private final ManualTimer timer = new ManualTimer();
    private final List<MemberInfo> members = new ArrayList<>();
    private final RelayPeers peers = new RelayPeers(timer, () -> members, new InstanceId("self"), HERE, () -> 0.5);

    private static MemberInfo member(String id, FailureDomain domain, MemberInfo.Status status, long version) {
        return new MemberInfo(
                new InstanceId(id),
                new Incarnation(1),
                new Address("10.0.0." + id.length(), 1),
                domain,
                status,
                new ConfigVersion(version),
                Optional.empty());
    }

    private List<String> candidates() {
        return peers.candidates(SERVICE, VERSION).stream()
                .map(member -> member.instance().value())
                .toList();
    }

    /** Guards against asking this instance itself, one that is about to stop, or one with an older configuration. */
    @Test
    void onlyLivePeersWithTheConfigurationAreAsked() {
        members.add(member("self", HERE, MemberInfo.Status.LIVE, 5));
        members.add(member("leaving", HERE, MemberInfo.Status.LEAVING, 5));
        members.add(member("suspect", HERE, MemberInfo.Status.SUSPECT, 5));
        members.add(member("older", HERE, MemberInfo.Status.LIVE, 4));
        members.add(member("newer", HERE, MemberInfo.Status.LIVE, 6));
        assertThat(candidates()).containsExactly("newer");
    }

    /** Guards against traffic between domains while there are near peers, and against a rush to one near peer. */
    @Test
    void nearPeersComeFirstUntilTheyHaveMoreWork() {
        members.add(member("far", THERE, MemberInfo.Status.LIVE, 5));
        members.add(member("near", HERE, MemberInfo.Status.LIVE, 5));
        assertThat(candidates()).containsExactly("near", "far");
        for (int i = 0; i < 5; i++) {
            peers.onStart(new InstanceId("near"));
        }
        assertThat(candidates()).containsExactly("far", "near");
        peers.onEnd(new InstanceId("near"));
        peers.onEnd(new InstanceId("near"));
        assertThat(candidates()).containsExactly("near", "far");
        assertThat(peers.openCount()).isEqualTo(3);
    }

    /** Guards against asking a peer for each request that is cut off as well, and against never asking it again. */
    @Test
    void peerThatDeclinedIsLeftOutForAWhile() {
        members.add(member("near", HERE, MemberInfo.Status.LIVE, 5));
        peers.onDeclined(new InstanceId("near"), SERVICE);
        assertThat(candidates()).isEmpty();
        assertThat(peers.candidates(new ServiceName("other"), VERSION)).hasSize(1);
        timer.advance(RelayPeers.DECLINE_MEMORY);
        assertThat(candidates()).containsExactly("near");
    }

    /** Guards against requests of strangers that are handled as if a peer had passed them on. */
    @Test
    void onlyHostsOfMembersArePeers() {
        members.add(member("near", HERE, MemberInfo.Status.LEAVING, 5));
        members.add(member("vanished", HERE, MemberInfo.Status.GONE, 5));
        assertThat(peers.isMember("10.0.0.4")).isTrue();
        assertThat(peers.isMember("10.0.0.8")).isFalse();
    }
}
