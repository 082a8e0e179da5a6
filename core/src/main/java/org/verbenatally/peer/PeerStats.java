package org.verbenatally.peer;

/**
 * Counters of an instance's control traffic since its start.
 *
 * @param bytesSent bytes written to peer links, without TCP and IP headers
 * @param bytesReceived bytes read from peer links
 * @param configBytesSent bytes sent in configuration documents and deltas
 * @param links open links now
 * @param platformReads reads from the platform
 * @param configFetches documents asked for at peers
 * @param configDeltas documents that came as the difference to the one in force
 * @param configConflicts pairs of documents with one version that were seen
 * @param configRejections documents that were not valid
 */
public record PeerStats(
        long bytesSent,
        long bytesReceived,
        long configBytesSent,
        int links,
        long platformReads,
        long configFetches,
        long configDeltas,
        long configConflicts,
        long configRejections) {}
