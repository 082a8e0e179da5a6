package org.verbenatally.policy;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.verbenatally.core.TargetId;

/** Remembers where a prompt prefix ran last. Safe for use by several threads. */
final class PrefixTable {
    /** Prefixes remembered; engines cache some hundreds each. */
    private static final int MAX_PREFIXES = 4096;

    private final Map<Long, TargetId> last = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, TargetId> eldest) {
            return size() > MAX_PREFIXES;
        }
    };

    /** Remembers the target of a prefix; the hash 0 stands for no prefix. */
    synchronized void ran(long prefixHash, TargetId target) {
        if (prefixHash != 0) {
            last.put(prefixHash, target);
        }
    }

    /** Returns the target on which the prefix ran last. */
    synchronized Optional<TargetId> target(long prefixHash) {
        return prefixHash == 0 ? Optional.empty() : Optional.ofNullable(last.get(prefixHash));
    }
}
