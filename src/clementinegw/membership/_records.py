"""Records of members, and the rule by which updates supersede each other."""

import dataclasses
import functools

import xxhash

from clementinegw import types
from clementinegw.membership import view
from clementinegw.wire.gen.membership import ttypes

State = ttypes.MemberState

STATE_VIEWS = {
    State.ALIVE: view.MemberState.ALIVE,
    State.SUSPECT: view.MemberState.SUSPECT,
    State.LEAVING: view.MemberState.LEAVING,
    State.DEAD: view.MemberState.DEAD,
    State.LEFT: view.MemberState.LEFT,
}

SHORT_FINGERPRINT_BYTES = 4

_SIGNED_64 = 1 << 63
_MASK_32 = (1 << 32) - 1


@dataclasses.dataclass(slots=True)
class Record:
    """A member as stored in the table.

    Attributes:
      member: The newest update, as sent to other members.
      address: The address it listens at.
      key: The 64-bit hash of its id, which is its position on the ring.
      fingerprint: The 64-bit hash that it adds to the digest; 0 when it is not
        present.
      short_fingerprint: The low four bytes of the fingerprint, for
        synchronisation.
      changed_at: When the update was applied, in monotonic seconds.
      report: Its newest report, or None.
    """

    member: ttypes.Member
    address: types.Address
    key: int
    fingerprint: int
    short_fingerprint: bytes
    changed_at: float
    report: ttypes.Report | None = None

    @property
    def present(self) -> bool:
        """Whether the member is neither dead nor has left."""
        return self.member.state < State.DEAD


@functools.lru_cache(maxsize=8192)
def key_of(instance_id: str) -> int:
    """Returns the signed 64-bit hash of an id; equal in all processes."""
    return xxhash.xxh64_intdigest(instance_id.encode()) - _SIGNED_64


def fingerprint(member: ttypes.Member) -> int:
    """Returns the hash that a member adds to a digest.

    It does not cover suspicions, so that digests differ only by lasting
    changes.
    """
    if member.state >= State.DEAD:
        return 0
    leaving = member.state == State.LEAVING
    text = (
        f"{member.instance_id}|{member.incarnation}|{leaving}|{member.version}"
    )
    return xxhash.xxh64_intdigest(text.encode())


def record_of(member: ttypes.Member, now: float) -> Record:
    """Returns the record for an update."""
    full_fingerprint = fingerprint(member)
    return Record(
        member,
        types.Address(member.host, member.port),
        key_of(member.instance_id),
        full_fingerprint,
        (full_fingerprint & _MASK_32).to_bytes(SHORT_FINGERPRINT_BYTES, "big"),
        now,
    )


def supersedes(new: ttypes.Member, old: ttypes.Member) -> bool:
    """Returns whether `new` supersedes `old`, an update on the same member."""
    return (new.incarnation, new.state) > (old.incarnation, old.state)


def with_state(
    member: ttypes.Member, state: int, incarnation: int | None = None
) -> ttypes.Member:
    """Returns a copy with another state and, if given, incarnation."""
    if incarnation is None:
        incarnation = member.incarnation
    return ttypes.Member(
        member.instance_id,
        member.role,
        member.region,
        member.failure_domain,
        member.host,
        member.port,
        incarnation,
        state,
        member.service_name,
        member.version,
    )


def member_of(instance: types.Instance, version: str) -> ttypes.Member:
    """Returns the record that a process announces of itself."""
    return ttypes.Member(
        instance.instance_id,
        str(instance.role),
        instance.place.region,
        instance.place.failure_domain,
        instance.address.host,
        instance.address.port,
        instance.incarnation,
        State.ALIVE,
        instance.service,
        version,
    )


def instance_of(
    member: ttypes.Member, address: types.Address
) -> types.Instance:
    """Returns the member as a `types.Instance`."""
    return types.Instance(
        member.instance_id,
        types.Role(member.role),
        types.Place(member.region, member.failure_domain),
        address,
        member.incarnation,
        member.service_name,
    )
