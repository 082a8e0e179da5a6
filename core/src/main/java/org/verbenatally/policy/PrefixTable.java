package org.verbenatally.policy;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.verbenatally.core.TargetId;

/** Records the target on which each prompt prefix last ran. Safe for use by several threads. */
final class PrefixTable {
    /** Number of prefixes that are kept; each engine caches some hundreds. */
    private static final int MAX_PREFIXES = 4096;

    private final Map<Long, TargetId> targetsByPrefix = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, TargetId> eldest) {
            return size() > MAX_PREFIXES;
        }
    };

    /** Records the target of a prefix; the hash 0 means that there is no prefix. */
    synchronized void recordTarget(long prefixHash, TargetId target) {
        if (prefixHash != 0) {
            targetsByPrefix.put(prefixHash, target);
        }
    }

    /** Returns the target on which the prefix last ran. */
    synchronized Optional<TargetId> lastTarget(long prefixHash) {
        return prefixHash == 0 ? Optional.empty() : Optional.ofNullable(targetsByPrefix.get(prefixHash));
    }
}
