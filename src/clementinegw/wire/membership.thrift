// Datagrams between the members of a failure domain, and between bridges of
// different failure domains.

// Ordered: for the same incarnation, the larger state takes precedence.
enum MemberState {
  ALIVE = 1,
  SUSPECT = 2,
  LEAVING = 3,
  DEAD = 4,
  LEFT = 5,
}

// A member's rarely changing record, which is disseminated to all.
struct Member {
  1: required string instance_id,
  2: required string role,
  3: required string region,
  4: required string failure_domain,
  5: required string host,
  6: required i32 port,
  7: required i64 incarnation,
  8: required MemberState state,
  9: required string service_name,
  10: required string version,
}

// A member's frequently changing values, which may be half a minute old. Sent
// only in the unused space of datagrams.
struct Report {
  // The 64-bit hash of the instance id.
  1: required i64 member_key,
  2: required i64 incarnation,
  3: required i32 sequence,
  4: required i32 load_permille,
  5: required i64 settings_revision,
}

struct ServiceSummary {
  1: required string service_name,
  2: required i32 agents,
  3: required i32 load_permille,
}

// One failure domain's report on itself to the others.
struct DomainSummary {
  1: required string failure_domain,
  2: required string region,
  // The hash over its members, equal if the views are equal.
  3: required i64 digest,
  // Milliseconds since the failure domain sent the report, also if relayed.
  4: required i32 age_ms,
  5: required list<ServiceSummary> services,
}

enum GossipKind {
  PING = 1,
  ACK = 2,
  PING_REQUEST = 3,
  UPDATES = 4,
  SYNC_ASK = 5,
  SYNC_RECORDS = 6,
}

struct Gossip {
  1: required GossipKind kind,
  2: required string sender,
  3: required i64 incarnation,
  // Increases with each datagram of a sender; a lower one is a replay.
  4: required i64 sequence,
  // ACK: the sequence of the PING that it answers.
  5: required i64 answers,
  // The largest settings revision known to the sender.
  6: required i64 newest_revision,
  7: required list<Member> updates,
  8: required list<Report> reports,
  9: required list<DomainSummary> domains,
  // The sender's own record, on first contact.
  10: optional Member introduction,
  // PING_REQUEST: the member to ping on behalf of the sender.
  11: optional Member target,
  // SYNC_ASK, SYNC_RECORDS: the failure domain that is compared.
  12: optional string sync_domain,
  // SYNC_ASK: four bytes of the fingerprint of each member known to the sender.
  // SYNC_RECORDS: those of them that the answering side does not know.
  13: optional binary prints,
  // SYNC_ASK: the number of parts and the index of this one; a large failure
  // domain is split.
  14: optional i32 parts,
  15: optional i32 part,
  // ACK: whether the sender's view is settled.
  16: optional bool settled,
}
