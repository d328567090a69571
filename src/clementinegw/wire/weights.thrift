// Between agents: who holds which chunks, and the chunks.

// The chunks of one manifest that an agent has verified. With `gained` only
// those that came since it told last; else all of them, as a bit a chunk.
struct ChunksHeld {
  1: required string instance_id,
  2: required string digest,
  3: required i32 count,
  4: required binary bits,
  5: optional list<i32> gained,
  // It answers such a message, and is not answered itself.
  6: optional bool answer,
}

// Asks for a part of a chunk. The first one of a call asks for the chunk; the
// receiver sends one for each further part, as fast as its link takes them.
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
