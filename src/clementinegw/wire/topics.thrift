// Between processes of one failure domain: topics of the platform's store,
// which one process reads and relays to the others.

// Requests changes of a topic. The receiver delays its answer until there is
// one; meanwhile it may send TOPIC_HELD, without a body.
struct TopicAsk {
  1: required string topic,
  // The requester's position; if unset, the newest value of every key is
  // requested.
  2: optional i64 offset,
  // The number of the newest proof of freshness that the requester has from
  // this receiver. If set, a newer proof is an answer as well.
  3: optional i64 proof,
  4: required i32 wait_ms,
}

struct TopicItem {
  // Text as a rule; the raw bytes if a foreign writer's key is not text.
  1: required binary key,
  2: required i64 offset,
  // Empty if the key was deleted.
  3: required binary value,
}

struct TopicItems {
  1: required list<TopicItem> items,
}

struct TopicNews {
  // The position to continue from.
  1: required i64 end,
  // Durations by the sender's monotonic clock: the age, at the time of the
  // answer, of the proof that there are no other changes; how long the request
  // was held; how long the oldest item may have been in the store, if known;
  // and how long the store has answered without failure.
  2: required i32 age_ms,
  3: required i32 held_ms,
  4: optional i32 lain_ms,
  5: required i64 settled_ms,
  6: required i64 proof,
  // `TopicItems`, compressed with zlib if `packed` is true; empty if there are
  // none.
  7: required bool packed,
  8: required binary items,
  // The readers of the topic, in order, as IP:PORT.
  9: required list<string> readers,
  // How long the store's last outage lasted.
  10: required i64 away_ms,
}

struct TopicRefused {
  1: required string reason,
  // The log no longer has the requester's offset; all values must be requested.
  2: required bool lost,
}
