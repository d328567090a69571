// Datagrams between entries and agents: reports on backend servers.

// A connection to a server broke while a request ran.
struct Crash {
  // Identifies the server's start.
  1: required binary start,
  2: required i32 age_ms,
}

// The evidence on a request that may crash servers.
struct Suspicion {
  1: required binary fingerprint,
  2: required list<Crash> crashes,
  // Milliseconds since a server completed it; unset if none did.
  3: optional i32 completed_age_ms,
  // As in PartSuspicion.
  4: optional i32 refused_age_ms,
  5: optional i32 probes,
  6: optional i32 probed_age_ms,
}

// The evidence on a part of prompts that may crash servers.
struct PartSuspicion {
  // Identifies the part.
  1: required binary part,
  2: required list<Crash> crashes,
  // Milliseconds since a request with it was answered; unset if none was since
  // the crashes.
  3: optional i32 answered_age_ms,
  // Milliseconds since a request was refused for it; unset if it is sound.
  4: optional i32 refused_age_ms,
  // How many requests were let through since it is refused, and milliseconds
  // since the last of them.
  5: optional i32 probes,
  6: optional i32 probed_age_ms,
}

// What is refused, as it lasts in the platform's store: a request or a part.
struct Refused {
  // Unix milliseconds at which it was written; the ages count from there.
  1: required i64 written_ms,
  2: optional Suspicion request,
  3: optional PartSuspicion part,
}

// The rate limit that a server reported in an answer since its start.
struct Limit {
  1: required string server_id,
  2: required i64 born,
  // Milliseconds since the answer was received.
  3: required i32 age_ms,
  // Requests per second; unset if the answer no longer reported a limit.
  4: optional double per_s,
}

// An entry subscribes to an agent's reports for a limited time, and reports the
// declared versions of weights that it knows.
struct Subscribe {
  1: required string instance_id,
  2: required map<string, i64> declared,
  // The entry is in another region and gets reports less often.
  3: optional bool far = false,
  // The entry sends no requests to the server, and so gets reports of changes
  // but not of the load.
  4: optional bool changes_only = false,
  // The entry's own latest observation.
  5: optional Limit limit,
  // Requests per second that the entry wants to send to servers of this service,
  // each counted as the part of it that this server may get.
  6: optional double demand,
  // A time of the entry's clock, in milliseconds, which the agent sends back.
  7: optional i32 sent_ms,
  // By model and version: milliseconds since it was declared, if known.
  20: optional map<string, map<i64, i64>> ages_ms,
  // The entry's own recent observations; rarely any.
  40: optional list<Suspicion> suspicions,
  41: optional list<PartSuspicion> part_suspicions,
}

// An agent reports the state that it has just read from its server; without a
// server's id, only the declared versions that it knows.
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
  // The server is about to load; others should be preferred until it has.
  10: required bool yielding,
  // How many entries subscribe to this agent's reports.
  11: required i32 entries,
  // Approximate seconds until the server serves again; negative if unknown.
  12: required double ready_in_s,
  // How many of them send requests to the server; all if unset.
  13: optional i32 followers,
  // The receiving entry's index among `entries`, and among `followers` if it is
  // one, from 0. Sent about once a second.
  14: optional i32 rank,
  15: optional i32 follower_rank,
  // The latest observation of any entry.
  16: optional Limit limit,
  // The demand of all followers together; unset if one of them tells none.
  17: optional double demand,
  // How much longer the server is cold; unset if it is not.
  18: optional i32 cold_ms,
  // The operators want no requests in the server's failure domain.
  19: optional bool evacuated,
  // By version of the model: milliseconds since it was declared, if known and
  // not sent to the entry recently.
  20: optional map<i64, i64> ages_ms,
  // Percent of the server's memory that requests use; unset if it is little.
  21: optional i32 memory_percent,
  // The time in the receiving entry's last subscription, and for how many
  // milliseconds the agent held it. Sent once for each subscription.
  22: optional i32 echo_ms,
  23: optional i32 echo_held_ms,
  // When the server started, in Unix milliseconds; 0 if not reported.
  30: optional i64 born,
  // The combined observations of all entries; rarely any.
  40: optional list<Suspicion> suspicions,
  41: optional list<PartSuspicion> part_suspicions,
}
