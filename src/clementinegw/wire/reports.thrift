// Between entries and agents, in datagrams: what a backend server is doing.

// A connection to a server broke while a request ran.
struct Crash {
  // Names the server's start.
  1: required binary start,
  2: required i32 age_ms,
}

// What is known of a request that may crash servers.
struct Suspicion {
  1: required binary fingerprint,
  2: required list<Crash> crashes,
  // Milliseconds since a server ran it to its end; unset when none did.
  3: optional i32 completed_age_ms,
}

// The rate limit that a start of a server reported in an answer.
struct Limit {
  1: required string server_id,
  2: required i64 born,
  // Milliseconds since the answer came.
  3: required i32 age_ms,
  // Requests a second; unset where the answer reported none any more.
  4: optional double per_s,
}

// An entry asks an agent for reports for a while, and says which versions of
// weights it knows to be declared.
struct Subscribe {
  1: required string instance_id,
  2: required map<string, i64> declared,
  // It stands in another region, and so is told less often.
  3: optional bool far = false,
  // It sends no requests there: it is told of what changes, not of the load.
  4: optional bool changes_only = false,
  // The entry's own last observation.
  5: optional Limit limit,
  // By model and version: milliseconds since it was declared, where known.
  20: optional map<string, map<i64, i64>> ages_ms,
  // What the entry saw itself of late; seldom any.
  40: optional list<Suspicion> suspicions,
}

// An agent tells what it has just read from the server beside it; without a
// server's id only what it knows of declared versions.
struct BackendReport {
  1: required string server_id,
  2: required i32 running,
  3: required i32 waiting,
  4: required i32 slots,
  5: required string model,
  6: required i64 version,
  7: required bool whole,
  8: required bool loading,
  9: required double pace,
  // It is about to load: others are to be preferred until it has.
  10: required bool yielding,
  // Entries that ask this agent for reports.
  11: required i32 entries,
  // Seconds until it serves again, about; negative when that is not known.
  12: required double ready_in_s,
  // Those of them that send requests to the server; all where unset.
  13: optional i32 followers,
  // The place of the entry that this goes to among `entries`, and among
  // `followers` where it is one, from 0. Told about once a second.
  14: optional i32 rank,
  15: optional i32 follower_rank,
  // The newest observation of any entry.
  16: optional Limit limit,
  // By version of the model: milliseconds since it was declared. Only where
  // that is known and the entry has not been told of late.
  20: optional map<i64, i64> ages_ms,
  // When the server started, in Unix milliseconds; 0 where it does not say.
  30: optional i64 born,
  // What entries saw together; seldom any.
  40: optional list<Suspicion> suspicions,
}
