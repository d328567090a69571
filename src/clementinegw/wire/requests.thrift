// Between entries and agents: requests, their answers and their outcomes.
// Between entries: claims to idempotency keys, and shared limits.

struct Header {
  1: required string name,
  2: required string value,
}

// Opens a call. Contains the whole body, whose size the settings limit.
struct Submit {
  1: required string request_id,
  2: required i32 attempt,
  3: required string customer,
  4: required string method,
  5: required string path,
  6: required list<Header> headers,
  7: required binary body,
  // The time left until the deadline, since clocks need not agree.
  8: required i32 deadline_ms,
  9: required i32 priority,
  10: required bool idempotent,
  11: required bool stream,
  12: required binary fingerprint,
  // The settings revision that the entry's decision is based on.
  13: required i64 revision,
  // The claim's offset in its stream, the fencing token; 0 without a claim.
  14: required i64 claim_offset,
  15: required string idempotency_key,
  // Tokens already sent to the caller if a stream resumes on another engine.
  16: required i32 resume_tokens,
  // The version that a resumed stream began with; empty for any.
  17: required string version,
  // Whether no other attempt may run at the same time.
  18: required bool alone,
  // The incarnation of the agent that the attempt is addressed to, from its
  // AgentStatus or the connection's handshake; 0 for any. Required with a key.
  19: optional i64 incarnation = 0,
  // When it was sent, in milliseconds on the sender's monotonic clock; 0 if
  // unknown. The agent subtracts a late frame's delay from the deadline.
  20: optional i64 sent_ms = 0,
}

struct AnswerHead {
  1: required string request_id,
  2: required i32 attempt,
  3: required i32 status,
  4: required list<Header> headers,
  // The model version that answered; empty for a plain service.
  5: required string version,
}

// The explicit end, without which an answer is not complete.
struct AnswerEnd {
  1: required string request_id,
  2: required i32 attempt,
  3: required i64 body_bytes,
  4: required i32 tokens,
  // The agent's load after this answer, as in AgentStatus; -1 if not reported.
  // The entry receives it before the next status.
  5: optional i32 in_flight = -1,
  6: optional i32 queued = -1,
}

// Proof that the attempt was not handed over and never will be.
struct Refused {
  1: required string request_id,
  2: required i32 attempt,
  3: required string reason,
  4: required i32 retry_after_ms,
}

// The attempt was handed over and its outcome is unknown.
struct Failed {
  1: required string request_id,
  2: required i32 attempt,
  3: required string reason,
}

// Requests that the attempt, and with `whole_request` each earlier one, is
// refused unless it has been handed over.
struct Tombstone {
  1: required string request_id,
  2: required i32 attempt,
  3: optional bool whole_request = false,
  // The incarnation that the attempt was submitted to. For another incarnation
  // than its own, or for 0, an agent proves nothing, since it has no records of
  // its predecessor.
  4: optional i64 incarnation = 0,
  // Milliseconds since the attempt, or the first one covered, was submitted.
  // If that is before the agent's records begin, nothing is proved; if it is
  // unknown, nothing is proved once the agent has dropped any record of an
  // attempt that was handed over.
  5: optional i32 age_ms = -1,
}

struct Tombstoned {
  1: required string request_id,
  2: required i32 attempt,
  // True: it has not run and never will. False: it was or may have been handed
  // over.
  3: required bool proved,
}

// The agent's load and state, sent on every connection.
struct AgentStatus {
  1: required string instance_id,
  2: required i64 incarnation,
  3: required string service_name,
  4: required string version,
  5: required string digest,
  6: required bool leaving,
  7: required bool ready,
  8: required i32 in_flight,
  9: required i32 queued,
  10: required i32 capacity,
  11: required double engine_load,
  // Seconds since the backend server began to serve this version.
  12: required double serving_s,
  // 64-bit hashes of the prefixes in the engine's cache, newest last.
  13: required list<i64> prefixes,
  // Whether `prefixes` contains only those added since the last notice on the
  // connection; `prefixes_gone` contains those removed.
  14: optional bool prefixes_changed = false,
  15: optional list<i64> prefixes_gone,
}

// The values that change with each request, sent between two notices of the
// status. Valid only for the incarnation in the last AgentStatus.
struct AgentLoad {
  1: required i64 incarnation,
  2: required i32 in_flight,
  3: required i32 queued,
  // The prefixes added to the engine's cache since the last notice of either
  // kind on the connection, and those removed.
  4: optional list<i64> prefixes,
  5: optional list<i64> prefixes_gone,
}

// The requests in flight when an agent's backend server crashed: the notice
// CRASHED, and a record of the stream `suspects`.
struct CrashReport {
  1: required string instance_id,
  2: required i64 incarnation,
  // The number of the crash in this incarnation; with the fields above, it
  // identifies the crash.
  3: required i32 sequence,
  4: required string service_name,
  // Fingerprints of the requests in flight.
  5: required list<binary> fingerprints,
  6: required i64 time_ms,
}

// Requests that completed after a crash at which they had been in flight.
struct Cleared {
  1: required list<binary> fingerprints,
  2: required i64 time_ms,
}

struct SuspectRecord {
  1: optional CrashReport crash,
  2: optional Cleared cleared,
}

// A claim to run the request of an idempotency key.
struct Claim {
  1: required binary claim_id,
  // Hash over service, customer and key.
  2: required binary key,
  3: required binary fingerprint,
  // The entry that may use the claim.
  4: required string holder,
  // When the key was first used, according to the caller; 0 if not dated.
  5: required i64 key_time_ms,
  // The holder hands over within this time of asking for the claim, or never.
  6: required i32 use_ms,
  // Whether the key is free again after that time: for taking turns, not for
  // requests with an effect.
  7: required bool lease,
}

enum ClaimEndKind {
  RAN = 1,
  // Not run, and the claim will never be used.
  RELEASED = 2,
  UNKNOWN = 3,
}

struct ClaimEnd {
  1: required binary claim_id,
  2: required binary key,
  3: required ClaimEndKind kind,
}

// A record of a stream `claims-K`. Its ends are applied before its claims.
struct ClaimBatch {
  1: required list<Claim> claims,
  2: required list<ClaimEnd> ends,
}

enum ClaimOperation {
  CLAIM = 1,
  END = 2,
  KEPT = 3,
}

// Between entries: to the owner of a shard or, for KEPT, to a key's holder.
struct ClaimAsk {
  1: required ClaimOperation operation,
  2: required i32 shard,
  3: optional Claim claim,
  4: optional list<ClaimEnd> ends,
  5: optional i32 wait_ms = 0,
  // KEPT: the incarnation of the entry that made the claim.
  6: optional i64 incarnation = 0,
}

enum ClaimVerdict {
  WON = 1,
  HELD = 2,
  RAN = 3,
  UNKNOWN = 4,
  EXPIRED = 5,
  REUSED = 6,
  VOID = 7,
  LOG_UNAVAILABLE = 8,
  KEPT = 10,
  NOT_KEPT = 11,
}

struct KeptAnswer {
  1: required i32 status,
  2: required list<Header> headers,
  3: required binary body,
}

struct ClaimReply {
  1: required ClaimVerdict verdict,
  2: optional i64 offset = 0,
  3: optional string holder = "",
  4: optional i32 retry_after_ms = 0,
  5: optional KeptAnswer answer,
}

// The requests and tokens per second of one customer for one service.
struct Usage {
  1: required string service_name,
  2: required string customer,
  3: required double requests,
  4: required double tokens,
}

// Notice USAGE_SHARE. An entry reports its own share to the owner of a
// customer's sums; the owner answers with the sums over all entries.
struct UsageShare {
  1: required string instance_id,
  2: required bool sums,
  3: required list<Usage> usages,
}
