// The frames of a connection between two processes of the system.
// Each frame is preceded by its length in bytes, as a 32-bit big-endian number.

enum Kind {
  HELLO = 1,
  CHALLENGE = 2,
  PROOF = 3,
  WELCOME = 4,
  PING = 5,
  PONG = 6,

  // entry <-> agent: requests.thrift
  SUBMIT = 20,
  BODY = 21,
  CANCEL = 22,
  TOMBSTONE = 23,
  ANSWER_HEAD = 30,
  ANSWER_DATA = 31,
  ANSWER_END = 32,
  REFUSED = 33,
  FAILED = 34,
  TOMBSTONED = 35,
  AGENT_STATUS = 36,
  CRASHED = 37,
  AGENT_LOAD = 38,

  // agent <-> agent: weights.thrift
  CHUNKS_HELD = 50,
  CHUNK_GET = 51,
  CHUNK_DATA = 52,
  CHUNK_REFUSED = 53,
  MANIFEST_GET = 54,
  MANIFEST_DATA = 55,

  // any <-> any: settings.thrift
  SETTINGS_PULL = 70,
  SETTINGS_STATE = 71,

  // entry <-> entry: requests.thrift, claims and shared limits
  CLAIM_ASK = 80,
  CLAIM_REPLY = 81,
  USAGE_SHARE = 82,

  // entry, agent -> entry: topics.thrift
  TOPIC_ASK = 90,
  TOPIC_NEWS = 91,
  TOPIC_HELD = 92,
  TOPIC_REFUSED = 93,
}

struct Frame {
  1: required Kind kind,
  // The number of the call it belongs to; 0 for a notice, outside of any call.
  2: required i64 call,
  3: required binary body,
}

// The first frame, sent by the process that opened the connection.
struct Hello {
  1: required i32 protocol,
  2: required string instance_id,
  3: required string role,
  4: required string region,
  5: required string failure_domain,
  6: required i64 incarnation,
  7: required binary nonce,
}

// The answer: the acceptor's nonce, and its proof over both nonces.
struct Challenge {
  1: required i32 protocol,
  2: required string instance_id,
  3: required binary nonce,
  4: required string key_id,
  5: required binary proof,
  6: required string role,
  7: required string region,
  8: required string failure_domain,
  9: required i64 incarnation,
}

struct Proof {
  1: required string key_id,
  2: required binary proof,
}

struct Welcome {
  1: required i32 protocol,
}
