package org.verbenatally.peer;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import com.dynatrace.hash4j.hashing.Hashing;
import org.verbenatally.core.InstanceId;

/** Rendezvous hashing: all instances that know the same members choose the same of them for a subject. */
public final class Rendezvous {
    private Rendezvous() {}

    /** Returns the {@code n} members with the highest weight for a subject, highest first. */
    public static List<InstanceId> choose(String subject, Collection<InstanceId> members, int n) {
        return members.stream()
                .sorted(Comparator.comparingLong((InstanceId m) -> weight(subject, m))
                        .reversed()
                        .thenComparing(Comparator.naturalOrder()))
                .limit(n)
                .toList();
    }

    /**
     * Returns the position of a member in the order in which {@link #choose} returns members: the number of others that
     * precede it. Takes one hash for each member, unlike the sort of {@code choose}.
     */
    public static int position(String subject, InstanceId member, Collection<InstanceId> members) {
        long own = weight(subject, member);
        int position = 0;
        for (InstanceId other : members) {
            long weight = weight(subject, other);
            if (weight > own || weight == own && other.compareTo(member) < 0) {
                position++;
            }
        }
        return position;
    }

    private static long weight(String subject, InstanceId member) {
        return Hashing.komihash5_0().hashCharsToLong(subject + "/" + member.value());
    }
}
