package org.verbenatally.peer;

import java.util.Comparator;
import java.util.Objects;
import java.util.Optional;

import com.dynatrace.hash4j.hashing.Hashing;
import org.verbenatally.core.Address;
import org.verbenatally.core.ConfigVersion;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.Incarnation;
import org.verbenatally.core.InstanceId;
import org.verbenatally.wire.Member;
import org.verbenatally.wire.MemberState;

/** State of one run of an instance as exchanged by gossip. Immutable; {@link #merge} is commutative and idempotent. */
record MemberRecord(
        Run run,
        Address address,
        FailureDomain failureDomain,
        String region,
        MemberState state,
        long heartbeat,
        ConfigVersion configVersion,
        Optional<Run> successor) {

    static final String DEFAULT_REGION = "default";

    /** 27 bits: such a hash takes four bytes as a compact Thrift integer, and collisions are rare among 330 records. */
    private static final int HASH_MASK = (1 << 27) - 1;

    /** One run of an instance. */
    record Run(InstanceId instance, Incarnation incarnation) implements Comparable<Run> {
        private static final Comparator<Run> ORDER =
                Comparator.comparing(Run::instance).thenComparing(Run::incarnation);

        // Implemented explicitly for the same reason as in InstanceId.
        @Override
        public boolean equals(Object other) {
            return other instanceof Run that && incarnation.equals(that.incarnation) && instance.equals(that.instance);
        }

        @Override
        public int hashCode() {
            return instance.hashCode() * 31 + incarnation.hashCode();
        }

        @Override
        public int compareTo(Run other) {
            return ORDER.compare(this, other);
        }
    }

    MemberRecord {
        Objects.requireNonNull(run, "run");
        if (heartbeat < 0) {
            throw new IllegalArgumentException("heartbeat must not be negative: " + heartbeat);
        }
    }

    /** Decodes a record received from a peer; throws {@link IllegalArgumentException} if a field is invalid. */
    static MemberRecord of(Member m) {
        Optional<Run> successor = Optional.empty();
        if (m.getKeySuccessor() != null) {
            successor = Optional.of(
                    new Run(new InstanceId(m.getKeySuccessor()), new Incarnation(m.getKeySuccessorIncarnation())));
        }
        String region = m.getRegion() == null ? DEFAULT_REGION : new FailureDomain(m.getRegion()).value();
        return new MemberRecord(
                new Run(new InstanceId(m.getInstance()), new Incarnation(m.getIncarnation())),
                new Address(m.getHost(), m.getPeerPort()),
                new FailureDomain(m.getFailureDomain()),
                region,
                m.getState(),
                m.getHeartbeat(),
                new ConfigVersion(m.getConfigVersion()),
                successor);
    }

    Member toWire() {
        Member m = new Member(
                run.instance().value(),
                run.incarnation().value(),
                address.host(),
                address.port(),
                failureDomain.value(),
                state,
                heartbeat,
                configVersion.value());
        if (!region.equals(DEFAULT_REGION)) {
            m.setRegion(region);
        }
        successor.ifPresent(s -> {
            m.setKeySuccessor(s.instance().value());
            m.setKeySuccessorIncarnation(s.incarnation().value());
        });
        return m;
    }

    /** Merges two records of the same run: the higher value of each field wins. */
    MemberRecord merge(MemberRecord other) {
        if (!run.equals(other.run)) {
            throw new IllegalArgumentException("records of different runs: " + run + ", " + other.run);
        }
        boolean ownAddressWins = address.toString().compareTo(other.address.toString()) >= 0;
        return new MemberRecord(
                run,
                ownAddressWins ? address : other.address,
                max(failureDomain, other.failureDomain, Comparator.comparing(FailureDomain::value)),
                max(region, other.region, Comparator.naturalOrder()),
                max(state, other.state, Comparator.comparingInt(MemberState::getValue)),
                Math.max(heartbeat, other.heartbeat),
                max(configVersion, other.configVersion, Comparator.naturalOrder()),
                mergeSuccessor(successor, other.successor));
    }

    MemberRecord withState(MemberState newState, Optional<Run> newSuccessor) {
        return new MemberRecord(run, address, failureDomain, region, newState, heartbeat, configVersion, newSuccessor);
    }

    MemberRecord withHeartbeat(long newHeartbeat, ConfigVersion version) {
        return new MemberRecord(run, address, failureDomain, region, state, newHeartbeat, version, successor);
    }

    /**
     * Returns the record kept for an earlier run, in state {@code LEFT} and without heartbeat and configuration
     * version.
     */
    MemberRecord asLeft() {
        return new MemberRecord(
                run, address, failureDomain, region, MemberState.LEFT, 0, ConfigVersion.NONE, successor);
    }

    /**
     * Returns a short hash of the run, the state and the successor. Peers compare these hashes, so the text form of
     * {@link Run} must be the same on all instances.
     */
    int hash() {
        String text = run + "/" + state + "/" + successor;
        return (int) Hashing.komihash5_0().hashCharsToLong(text) & HASH_MASK;
    }

    private static <T> T max(T a, T b, Comparator<? super T> order) {
        return order.compare(a, b) >= 0 ? a : b;
    }

    private static Optional<Run> mergeSuccessor(Optional<Run> a, Optional<Run> b) {
        if (a.isEmpty() || b.isEmpty()) {
            return a.isPresent() ? a : b;
        }
        return Optional.of(max(a.get(), b.get(), Comparator.naturalOrder()));
    }
}
