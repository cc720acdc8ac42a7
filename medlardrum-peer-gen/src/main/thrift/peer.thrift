namespace java org.medlardrum.peer.gen

/** Demand and served cost of one rank in one pool on one entry host. */
struct RankDemand {
  1: string pool
  2: i16 rank
  3: i64 demandCostPerS
  4: i64 servedCostPerS
}

/** Demand and served cost of one organisation in one pool on one entry host. */
struct OrganisationDemand {
  1: string pool
  2: string organisation
  3: i64 demandCostPerS
  4: i64 servedCostPerS
}

enum RumourKind {
  QUARANTINED = 1
  LEAVING = 2
  SUSPECT = 3
  CLEARED = 4
}

/** A fact that entry hosts spread by gossip. */
struct Rumour {
  1: RumourKind kind
  2: string subject
  3: i64 untilMs
  4: i32 count
}

/** Outstanding load of one entry host at one backend server. */
struct ServerShare {
  1: string server
  2: i64 tokenLayers
  3: i32 sequences
  4: i32 asFirst
}

/** An unresponsive server, as seen from an availability zone. */
struct SilentServer {
  1: string fromZone
  2: string server
  3: string serverZone
  4: i32 remainingMs
}

/** What may crash servers. */
enum CrashSubjectKind {
  PROMPT_PART = 1
  REQUEST = 2
}

/** How far a subject is cleared of a crash; hosts keep the highest value. */
enum CrashSubjectState {
  SUSPECT = 1
  KNOWN_BEFORE = 2
  CLEARED = 3
}

/** One subject of a request that a server had not begun to answer when it crashed. */
struct CrashEvidence {
  /** The server that crashed. */
  1: string crash
  2: CrashSubjectKind kind
  3: string subject
  4: i32 position
  5: CrashSubjectState state
  6: i64 ageMs
  /** The start of the server that crashed, not set by earlier builds. */
  7: optional i64 startedAtMs
}

/** Limit of requests that a server has named for all hosts together, 0 for none any more. */
struct ServerLimit {
  1: string server
  2: double limitPerS
  3: i64 ageMs
  4: double demandPerS
}

/** A server that has said in a response to the sender that it is leaving. */
struct LeavingServer {
  1: string server
  /** Start of the server, in milliseconds since the Unix epoch, 0 if unknown. */
  2: i64 startedAtMs
}

/** Question for the newest version of the store. */
struct StoreVersionQuery {
  1: i64 id
  2: string replyAddress
}

/** Answer to a question for the newest version of the store. */
struct StoreVersionReply {
  1: i64 id
  2: i64 era
  3: i64 revision
  /** Time since the read, negative if the sender cannot tell. */
  4: i64 ageMs
}

/** State that an entry host sends to another once a second. */
struct Digest {
  1: string hostId
  2: string availabilityZone
  3: i64 configVersion
  4: bool draining
  5: i64 sentAtMs
  6: list<RankDemand> ranks
  7: list<OrganisationDemand> organisations
  8: list<Rumour> rumours
  9: bool reply
  10: optional list<ServerShare> serverShares
  11: optional list<SilentServer> silentServers
  12: optional list<CrashEvidence> crashEvidence
  13: optional list<ServerLimit> serverLimits
  /** Address for the reply, which the receiver may not know yet. */
  14: optional string replyAddress
  /** Whether the sender has lost its links to the backend servers. */
  15: optional bool cutOff
  /** Age of the last answer of a backend server to the sender, not set without one. */
  16: optional i64 answeredMsAgo
  17: optional list<LeavingServer> leavingServers
  18: optional StoreVersionQuery storeVersionQuery
  19: optional StoreVersionReply storeVersionReply
}

/** One accepted configuration change, as the JSON text that the store holds. */
struct ConfigEntry {
  1: i64 version
  2: string changeJson
}

/** The changes after a version, or a snapshot when the peer no longer has all of them. */
struct ConfigPull {
  1: i64 version
  2: optional string snapshotJson
  3: list<ConfigEntry> changes
}

/** A claim on an idempotency key, sent to the entry host that decides the claims of its bucket. */
struct ClaimRequest {
  1: string organisation
  2: string route
  3: string idempotencyKey
  4: string requestDigest
  5: string hostId
  6: string attemptId
  7: i64 timeoutMs
}

/** The outcome of a claimed request, with its response, to be recorded in the store. */
struct ClaimOutcome {
  1: string organisation
  2: string route
  3: string idempotencyKey
  4: string attemptId
  5: bool released
  6: i32 status
  7: string contentType
  8: binary body
  9: bool bodyComplete
}

/** Decision on a claim. */
enum ClaimVerdict {
  GRANTED = 1
  COMPLETED = 2
  IN_PROGRESS = 3
  OUTCOME_UNKNOWN = 4
  DIFFERENT_REQUEST = 5
  STORE_UNAVAILABLE = 6
}

/** Response to a claim; contains the recorded outcome if the request has completed. */
struct ClaimAnswer {
  1: ClaimVerdict verdict
  2: i64 retryAfterMs
  3: optional ClaimOutcome outcome
  4: string detail
}

/** A request over the peers' TCP port. Its response is the PeerResponse member for the same purpose, or an error. */
union PeerRequest {
  1: i64 pullConfigAfterVersion
  2: ClaimRequest claim
  3: ClaimOutcome recordOutcome
  4: i64 pullHostsAfterRevision
}

union PeerResponse {
  1: ConfigPull configPull
  2: ClaimAnswer claim
  3: bool outcomeRecorded
  4: string error
  5: string hostsJson
}
