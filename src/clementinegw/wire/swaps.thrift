// Records of the log stream `swaps-SERVICE`: the leases of a service's workers
// that are out of service to load weights.

enum SwapKind {
  ASK = 1,
  RENEW = 2,
  RELEASE = 3,
  EXPIRE = 4,
}

struct SwapRecord {
  1: required SwapKind kind,
  2: required binary lease_id,
  3: required string instance_id,
  // How many workers may be out at once, according to the writer.
  4: required i32 max_out,
  // How long the lease lasts after this record.
  5: required i32 ttl_ms,
  // Distinguishes the renewals of one lease.
  6: required i64 sequence,
  // EXPIRE: the offset of the lease's newest record known to the writer.
  7: required i64 seen,
}
