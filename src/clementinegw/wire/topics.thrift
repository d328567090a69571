// Between processes of one failure domain: topics of the platform's store,
// read by one of them and passed on to the others.

// Asks for what has changed. The receiver holds the question until it has
// something to say; meanwhile it may send TOPIC_HELD, without a body.
struct TopicAsk {
  1: required string topic,
  // Where the asker is; without it the newest value of every key is asked for.
  2: optional i64 offset,
  // The number of the newest proof that the asker has of this receiver. With
  // it, a newer proof is an answer as well.
  3: optional i64 proof,
  4: required i32 wait_ms,
}

struct TopicItem {
  // A text as a rule; of other writers' keys the bytes as they are.
  1: required binary key,
  2: required i64 offset,
  // Empty when the key is gone.
  3: required binary value,
}

struct TopicItems {
  1: required list<TopicItem> items,
}

struct TopicNews {
  // Where to go on from.
  1: required i64 end,
  // How old the proof was at the moment of the answer that nothing else is
  // new, how long the question was held, how long the oldest of the items may
  // have lain in the store where that is known, and since when the store has
  // answered without failure: all by the sender's steady time.
  2: required i32 age_ms,
  3: required i32 held_ms,
  4: optional i32 lain_ms,
  5: required i64 settled_ms,
  6: required i64 proof,
  // `TopicItems`, packed with zlib where `packed` says so; empty without items.
  7: required bool packed,
  8: required binary items,
  // Who reads, in order, as IP:PORT.
  9: required list<string> readers,
  // How long the store had given no answer when it last came back.
  10: required i64 away_ms,
}

struct TopicRefused {
  1: required string reason,
  // The log has moved on past the asker's offset: ask for everything.
  2: required bool lost,
}
