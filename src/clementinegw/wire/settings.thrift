// Between any two processes: the settings, from processes that read the log to
// those that do not or cannot.

// A record of the log stream `settings`.
struct LogRecord {
  1: required i64 offset,
  2: required double time,
  3: required binary value,
}

struct SettingsPull {
  // The newest revision that the requester has applied.
  1: required i64 revision,
  // The next offset that the requester would apply, and the fingerprint of the
  // record before it.
  2: optional i64 position = 1,
  3: optional binary fingerprint = "",
  // How long the answer may be delayed while there is nothing newer.
  4: optional i32 wait_ms = 0,
}

struct SettingsState {
  1: required i64 revision,
  // The snapshot of the settings at that revision; empty if not newer, or if
  // the records below bring the requester up to date.
  2: required binary snapshot,
  3: required binary digest,
  // The next offset that the sender would apply.
  4: optional i64 position = 1,
  // The records from the requester's position on.
  5: optional list<LogRecord> records = [],
}
