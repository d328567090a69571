// Between agents: which agent holds which chunks, and the chunks' data.

// The chunks of one manifest that an agent has verified: with `gained`, only
// those since its last message; otherwise all, one bit per chunk.
struct ChunksHeld {
  1: required string instance_id,
  2: required string digest,
  3: required i32 count,
  4: required binary bits,
  5: optional list<i32> gained,
  // Whether this answers such a message; an answer gets no answer.
  6: optional bool answer,
}

// Requests a part of a chunk. The first one of a call requests the chunk; the
// receiver of the chunk sends one for each further part, at its link's rate.
struct ChunkGet {
  1: required string digest,
  2: required i32 index,
  3: required binary chunk_digest,
  4: required i32 offset,
  5: required i32 length,
}

struct ChunkRefused {
  1: required string reason,
  2: required i32 retry_after_ms,
}

struct ManifestGet {
  1: required string digest,
}
