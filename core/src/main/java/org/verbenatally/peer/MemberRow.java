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

/** One run of an instance as its members gossip it. Immutable; {@link #merge} is commutative and idempotent. */
record MemberRow(
        Run run,
        Address address,
        FailureDomain failureDomain,
        String region,
        MemberState state,
        long heartbeat,
        ConfigVersion configVersion,
        Optional<Run> successor) {

    static final String DEFAULT_REGION = "default";

    /** 27 bits: as a compact Thrift number such a hash takes four bytes, and at 330 rows two rarely collide. */
    private static final int HASH_MASK = (1 << 27) - 1;

    /** One run of an instance. */
    record Run(InstanceId instance, Incarnation incarnation) implements Comparable<Run> {
        private static final Comparator<Run> ORDER =
                Comparator.comparing(Run::instance).thenComparing(Run::incarnation);

        // Written out for the same reason as in InstanceId.
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

    MemberRow {
        Objects.requireNonNull(run, "run");
        if (heartbeat < 0) {
            throw new IllegalArgumentException("heartbeat must not be negative: " + heartbeat);
        }
    }

    /** Reads a row from a peer; throws {@link IllegalArgumentException} if a field is not valid. */
    static MemberRow of(Member m) {
        Optional<Run> successor = Optional.empty();
        if (m.getKeySuccessor() != null) {
            successor = Optional.of(
                    new Run(new InstanceId(m.getKeySuccessor()), new Incarnation(m.getKeySuccessorIncarnation())));
        }
        String region = m.getRegion() == null ? DEFAULT_REGION : new FailureDomain(m.getRegion()).value();
        return new MemberRow(
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

    /** Returns the union of what two rows of one run say: the higher value of each field. */
    MemberRow merge(MemberRow other) {
        if (!run.equals(other.run)) {
            throw new IllegalArgumentException("rows of two runs: " + run + ", " + other.run);
        }
        boolean own = address.toString().compareTo(other.address.toString()) >= 0;
        return new MemberRow(
                run,
                own ? address : other.address,
                max(failureDomain, other.failureDomain, Comparator.comparing(FailureDomain::value)),
                max(region, other.region, Comparator.naturalOrder()),
                max(state, other.state, Comparator.comparingInt(MemberState::getValue)),
                Math.max(heartbeat, other.heartbeat),
                max(configVersion, other.configVersion, Comparator.naturalOrder()),
                mergeSuccessor(successor, other.successor));
    }

    MemberRow with(MemberState newState, Optional<Run> newSuccessor) {
        return new MemberRow(run, address, failureDomain, region, newState, heartbeat, configVersion, newSuccessor);
    }

    MemberRow beat(long newHeartbeat, ConfigVersion version) {
        return new MemberRow(run, address, failureDomain, region, state, newHeartbeat, version, successor);
    }

    /** Returns the form in which an earlier run is remembered, without what no longer matters. */
    MemberRow departed() {
        return new MemberRow(run, address, failureDomain, region, MemberState.LEFT, 0, ConfigVersion.NONE, successor);
    }

    /** Returns a short hash of the run, the state and the successor. */
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
