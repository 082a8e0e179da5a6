package org.verbenatally.peer;

import java.time.Duration;

/**
 * Periods and timeouts of membership, links and configuration reads.
 *
 * @param gossipPeriod period of the gossip frames on each link
 * @param linkSilenceTimeout silence timeout of a link: one without a frame for this long is closed and opened again
 * @param minSuspectTimeout a member whose heartbeat has not advanced for this long is suspect; minimum, grows with the
 *     fleet
 * @param minGoneTimeout a member whose heartbeat has not advanced for this long is considered gone; minimum, grows with
 *     the fleet
 * @param forgetAfter a member that is gone is forgotten after its heartbeat has not advanced for this long
 * @param successorRetention how long the key successor of a member that left is remembered; the lifetime of the keys
 * @param neighbourRenewalPeriod period in which all dialled neighbours are replaced; a new one is sent all tables
 * @param startupQueryTimeout how long a starting instance waits for the platform and for each peer
 * @param pollPeriod period of the configuration reads of an instance that is not one of its region's readers
 * @param longPollTimeout maximum wait of a reader's long poll
 */
public record PeerTimings(
        Duration gossipPeriod,
        Duration linkSilenceTimeout,
        Duration minSuspectTimeout,
        Duration minGoneTimeout,
        Duration forgetAfter,
        Duration successorRetention,
        Duration neighbourRenewalPeriod,
        Duration startupQueryTimeout,
        Duration pollPeriod,
        Duration longPollTimeout) {

    /**
     * Up to this fleet size, heartbeats advance with each frame; above it the heartbeat period grows with the fleet.
     */
    static final int FULL_RATE_MEMBERS = 64;

    /** In a fleet that is not fully meshed, a link carries one periodic frame every this many gossip periods. */
    private static final int LARGE_FLEET_PERIODS = 2;

    /** A member becomes suspect after at least this many heartbeat periods without an advance. */
    private static final int SUSPECT_PERIODS = 6;

    /** A member is considered gone after this many suspect timeouts; 15 s at a gossip period of 500 ms. */
    private static final int GONE_RATIO = 5;

    /** Returns the standard values. */
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

    /** Returns these timings with all values divided by the same number, for tests on loopback. */
    public PeerTimings dividedBy(int n) {
        return new PeerTimings(
                gossipPeriod.dividedBy(n),
                linkSilenceTimeout.dividedBy(n),
                minSuspectTimeout.dividedBy(n),
                minGoneTimeout.dividedBy(n),
                forgetAfter.dividedBy(n),
                successorRetention.dividedBy(n),
                neighbourRenewalPeriod.dividedBy(n),
                startupQueryTimeout.dividedBy(n),
                pollPeriod.dividedBy(n),
                longPollTimeout.dividedBy(n));
    }

    /**
     * Returns the period at which the heartbeat counter advances, which is at least that of the frames. Each heartbeat
     * is sent over each link about once, so the traffic of an instance is proportional to the number of members divided
     * by this period; above {@link #FULL_RATE_MEMBERS} members the ratio is constant.
     */
    Duration heartbeatPeriod(int members) {
        return max(framePeriod(members), gossipPeriod.multipliedBy(members).dividedBy(FULL_RATE_MEMBERS));
    }

    /** Returns the period of the frames on a link; urgent changes are sent earlier in frames of their own. */
    Duration framePeriod(int members) {
        return members <= Links.FULL_MESH_MEMBERS ? gossipPeriod : gossipPeriod.multipliedBy(LARGE_FLEET_PERIODS);
    }

    /** Returns the time without a heartbeat after which a member of a fleet of this size is suspect. */
    Duration suspectTimeout(int members) {
        return max(minSuspectTimeout, heartbeatPeriod(members).multipliedBy(SUSPECT_PERIODS));
    }

    /** Returns the time without a heartbeat after which a member of a fleet of this size is considered gone. */
    Duration goneTimeout(int members) {
        Duration scaled = suspectTimeout(members).multipliedBy(GONE_RATIO);
        return max(minGoneTimeout, scaled);
    }

    private static Duration max(Duration a, Duration b) {
        return a.compareTo(b) >= 0 ? a : b;
    }
}
