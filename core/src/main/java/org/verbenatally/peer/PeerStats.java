package org.verbenatally.peer;

/**
 * Counters of an instance's control traffic since it started.
 *
 * @param bytesSent bytes written to peer links, without TCP and IP headers
 * @param bytesReceived bytes read from peer links
 * @param configBytesSent bytes sent in configuration documents and deltas
 * @param links number of links currently open
 * @param platformReads read requests sent to the platform
 * @param configFetches documents requested from peers
 * @param configDeltas documents received as a delta to the highest one known
 * @param configConflicts pairs of different documents with the same version that were seen
 * @param configRejections documents rejected as invalid
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
