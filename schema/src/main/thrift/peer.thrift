// Messages between entry instances: TCompactProtocol in frames with a 4-byte big-endian length, at most 1 MiB.
namespace java org.verbenatally.wire

/** Opens a link; each side sends one before anything else. */
struct Hello {
  1: required i32 protocol,
  2: required string instance,
  3: required i64 incarnation,
  4: required string failureDomain,
  5: required string deployment,
  /** Set on a link that only carries forwarded calls and key transfers; such a link carries no gossip. */
  6: optional bool callsOnly
}

/** State of an entry instance as its peers see it. */
enum MemberState {
  LIVE = 1,
  LEAVING = 2,
  LEFT = 3
}

/** One row of the member table. */
struct Member {
  1: required string instance,
  2: required i64 incarnation,
  3: required string host,
  4: required i32 peerPort,
  5: required string failureDomain,
  6: required MemberState state,
  /** Grows by one each gossip period of the member itself. */
  7: required i64 heartbeat,
  8: required i64 configVersion,
  /** Instance that took over the member's idempotency keys, if it left. */
  9: optional string keySuccessor,
  /** Incarnation of that instance when it took over. */
  10: optional i64 keySuccessorIncarnation,
  /** Region the member is in; absent: the default region. */
  11: optional string region
}

/**
 * Heartbeats of members that the receiver is expected to know, one position for each member in each list. A row hash
 * covers instance, incarnation, state and key successor, so an unknown hash tells the receiver to ask for the row.
 */
struct Beats {
  1: required list<i32> rows,
  2: required list<i64> heartbeats,
  /** The configuration version of the gossip frame minus that of the member. */
  3: required list<i64> versionLags
}

/** What one entry has in flight on one target. */
struct TargetLoad {
  1: required string target,
  2: required i32 requests,
  3: required i64 tokens,
  /** Prompt tokens among them that the target has probably not read yet; absent: none. */
  4: optional i64 unreadTokens,
  /** Grows with each statement of the run; of two statements about one target the higher one counts. */
  5: optional i64 number,
  /** Requests that the target failed in the last seconds, as the run has seen; absent: none. */
  6: optional i32 failures,
  /** Requests that the target answered in the same time, the failed ones included; set if failures is. */
  7: optional i32 answers,
  /**
   * Speed of the target as the run has measured it lately, in thousandths of the average speed of its service; absent:
   * not measured.
   */
  8: optional i32 speedPermille,
  /** Weight of that measurement, in hundredths of an observation; set if speedPermille is. */
  9: optional i32 speedWeight
}

/** Loads that one run of an instance states; all instances pass them on. */
struct InstanceLoads {
  1: required string instance,
  2: required i64 incarnation,
  3: required list<TargetLoad> loads
}

/** What the platform publishes about a target. */
struct TargetEntry {
  1: required string serviceName,
  2: required string host,
  3: required i32 port,
  4: required string failureDomain,
  /** Requests that it serves at once. */
  5: required i32 slots,
  6: required bool leaving,
  /** When this run of the target started, in milliseconds since the epoch; 0 if it does not say. */
  7: required i64 startedMs,
  /** How much longer it is slow after its start, in milliseconds. */
  8: required i64 coldMs,
  /** Whether this run of the target has announced in a response that it leaves, whatever later entries say of it. */
  9: optional bool departing
}

/**
 * A published entry as one instance has read it. The one of the newest epoch counts, and within an epoch the one with the
 * highest revision; all instances pass it on.
 */
struct PublishedTarget {
  1: required string target,
  /** Revision of the platform's service at which the entry was written, or found missing. */
  2: required i64 revision,
  /** Absent if the target is no longer published. */
  3: optional TargetEntry entry,
  /**
   * Epoch of the platform's service at that revision, which grows whenever its revisions go back; absent: the newest one
   * that the receiver knows.
   */
  4: optional i64 epoch
}

/**
 * Whether a failure domain is evacuated, as one instance has read it. The record of the newest epoch counts, and within
 * an epoch the one with the highest revision; all instances pass it on.
 */
struct DomainEvacuation {
  1: required string failureDomain,
  /** Revision of the platform's service at which the evacuation was written, or found missing. */
  2: required i64 revision,
  /** Epoch of the platform's service at that revision. */
  3: required i64 epoch,
  4: required bool evacuated
}

/** A request fingerprint that was running when a target died. */
struct Suspect {
  1: required i64 fingerprintHigh,
  2: required i64 fingerprintLow,
  3: required i32 crashes,
  4: required i32 isolatedCrashes,
  5: required i32 expiresInMs,
  /** Target on which the sender runs it now, if any. */
  6: optional string runningOn
}

/**
 * What one run of an instance has seen of requests with some traits: that a target crashed under them, or that they were
 * served. It never changes; all instances pass it on.
 */
struct TraitReport {
  1: required string instance,
  2: required i64 incarnation,
  /** Grows with each report of the run. */
  3: required i64 number,
  /** Time since the crash, or since the target began to serve the request. */
  4: required i32 ageMs,
  /** What requests may have in common: for example a part of their prompts. */
  5: required list<string> traits,
  /** Target that crashed; absent: requests with these traits were served. */
  6: optional string crashedTarget,
  /** When this run of the target started, in milliseconds since the epoch; set if crashedTarget is. */
  7: optional i64 targetStartedMs
}

/** Periodic state exchange; also the heartbeat of the link. */
struct Gossip {
  1: required list<Member> members,
  /** Statements that the receiver may not have, the sender's own and those of others. */
  2: required list<InstanceLoads> loads,
  3: required list<string> leavingTargets,
  4: required list<Suspect> suspects,
  5: required i64 configVersion,
  /** SHA-256 of the deployment document, empty if there is none. */
  6: required binary configDigest,
  7: optional Beats beats,
  /** Row hashes that the sender does not know; the receiver answers with rows in its next frame. */
  8: optional list<i32> wantedRows,
  /** Set if leavingTargets and suspects are left out and what was said before still holds. */
  9: optional bool membersOnly,
  /** Published entries that the receiver may not have. */
  10: optional list<PublishedTarget> published,
  /** Age of the newest read of the published list that the sender knows all results of; absent: it knows of none. */
  11: optional i32 publishedAgeMs,
  /** Reports that the receiver may not have. */
  12: optional list<TraitReport> traitReports,
  /** Evacuations that the receiver may not have. */
  13: optional list<DomainEvacuation> evacuations
}

/** Asks for the sender's deployment document in force. */
struct ConfigRequest {
  1: required i64 newerThan,
  /** SHA-256 of the document that the sender has; set if a delta to it will do. */
  2: optional binary baseDigest
}

/** The deployment document in force. */
struct ConfigDocument {
  1: required i64 version,
  /** SHA-256 of the document before compression. */
  2: required binary digest,
  /** The document in zlib format, so that one of a megabyte fits a frame. */
  3: required binary body
}

/** Some lines of the base document, or text that it lacks. Lines include their line feed. */
struct DeltaPart {
  1: optional i32 firstLine,
  2: optional i32 lines,
  3: optional binary text
}

/** The deployment document in force as the difference to one that the receiver has. */
struct ConfigDelta {
  1: required i64 version,
  /** SHA-256 of the resulting document. */
  2: required binary digest,
  3: required binary baseDigest,
  4: required list<DeltaPart> parts
}

/** A call with an idempotency key, sent to the key's owner. */
struct ForwardCall {
  1: required i64 callId,
  2: required string request,
  3: required string organisation,
  4: required string kind,
  5: required string key,
  6: required i64 deadlineMs,
  7: required binary body
}

/** The owner's answer to a forwarded call. */
struct ForwardResult {
  1: required i64 callId,
  2: required string outcome,
  3: required i32 status,
  4: required binary body,
  5: optional string step,
  6: optional string peer,
  7: optional string message
}

/** One used idempotency key of a leaving instance. */
struct KeyEntry {
  1: required string key,
  2: required i64 ageMs,
  3: required string outcome,
  4: required i32 status,
  5: required binary body
}

/** Hands the key table of a leaving instance to a successor, in parts. */
struct KeyTransfer {
  1: required string instance,
  2: required i64 incarnation,
  /** Secret that signs the instance's keys. */
  3: required binary secret,
  /** Milliseconds on the instance's monotonic clock since it started. */
  4: required i64 uptimeMs,
  5: required list<KeyEntry> entries,
  6: required bool last
}

/** Confirms a complete key transfer. */
struct KeyTransferAck {
  1: required string instance,
  2: required i64 incarnation
}

/** One frame of a link. */
union PeerFrame {
  1: Hello hello,
  2: Gossip gossip,
  3: ConfigRequest configRequest,
  4: ConfigDocument configDocument,
  5: ForwardCall forwardCall,
  6: ForwardResult forwardResult,
  7: KeyTransfer keyTransfer,
  8: KeyTransferAck keyTransferAck,
  9: ConfigDelta configDelta
}
