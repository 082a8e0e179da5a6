package org.verbenatally.peer;

import java.time.Duration;

/**
 * Periods and bounds of membership and links.
 *
 * @param gossip period of the gossip frame on each link
 * @param linkSilence a link without a frame for this long is closed and opened again
 * @param suspect a member whose counter has not advanced for this long is suspect; grows with the fleet
 * @param gone a member whose counter has not advanced for this long is considered gone; grows with the fleet
 * @param forget a member that has been gone for this long is forgotten
 * @param successorMemory how long the key successor of a member that left is remembered; keys live as long
 * @param neighbourRenewal period in which all neighbours have been replaced by others; a new one is sent all tables
 * @param startupQueryTimeout how long a starting instance waits for the platform and for each peer
 * @param poll period of the configuration reads of an instance that is not a reader
 * @param longPoll longest wait of a reader's read
 */
public record PeerTimings(
        Duration gossip,
        Duration linkSilence,
        Duration suspect,
        Duration gone,
        Duration forget,
        Duration successorMemory,
        Duration neighbourRenewal,
        Duration startupQueryTimeout,
        Duration poll,
        Duration longPoll) {

    /** Fleets up to this size beat at the gossip period; above it the beat period grows with the fleet. */
    static final int FULL_RATE_MEMBERS = 64;

    /** In a fleet without a link between any two members, links carry a periodic frame in each of this many periods. */
    private static final int LARGE_FLEET_PERIODS = 2;

    /** A member needs this many beat periods without an advance to become suspect. */
    private static final int SUSPECT_PERIODS = 6;

    /** A member is considered gone after this many suspect timeouts; at 500 ms this gives 15 s. */
    private static final int GONE_RATIO = 5;

    /** Returns the values that the design states. */
    public static PeerTimings standard() {
        return new PeerTimings(
                Duration.ofMillis(500),
                Duration.ofSeconds(3),
                Duration.ofSeconds(3),
                Duration.ofSeconds(15),
                Duration.ofMinutes(10),
                Duration.ofMinutes(30),
                Duration.ofMinutes(2),
                Duration.ofSeconds(3),
                Duration.ofSeconds(60),
                Duration.ofSeconds(30));
    }

    /** Returns all values divided by the same number, for tests on loopback. */
    public PeerTimings dividedBy(int n) {
        return new PeerTimings(
                gossip.dividedBy(n),
                linkSilence.dividedBy(n),
                suspect.dividedBy(n),
                gone.dividedBy(n),
                forget.dividedBy(n),
                successorMemory.dividedBy(n),
                neighbourRenewal.dividedBy(n),
                startupQueryTimeout.dividedBy(n),
                poll.dividedBy(n),
                longPoll.dividedBy(n));
    }

    /**
     * Returns the period of the heartbeat counter, at least that of the frames. Each beat crosses each link about once,
     * so the traffic of an instance grows with the number of members over this period; above
     * {@link #FULL_RATE_MEMBERS} the ratio is constant.
     */
    Duration heartbeatPeriod(int members) {
        return max(framePeriod(members), gossip.multipliedBy(members).dividedBy(FULL_RATE_MEMBERS));
    }

    /** Returns the period of the frames on a link; changes that matter sooner have frames of their own. */
    Duration framePeriod(int members) {
        return members <= Links.FULL_MESH_MEMBERS ? gossip : gossip.multipliedBy(LARGE_FLEET_PERIODS);
    }

    /** Returns the suspect timeout in a fleet of this size. */
    Duration suspectTimeout(int members) {
        return max(suspect, heartbeatPeriod(members).multipliedBy(SUSPECT_PERIODS));
    }

    /** Returns the time to gone in a fleet of this size. */
    Duration goneTimeout(int members) {
        Duration grown = suspectTimeout(members).multipliedBy(GONE_RATIO);
        return max(gone, grown);
    }

    private static Duration max(Duration a, Duration b) {
        return a.compareTo(b) >= 0 ? a : b;
    }
}
