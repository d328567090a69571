"""The types that describe members and failure domains to other packages."""

import dataclasses
import enum

from clementinegw import types


class MemberState(enum.StrEnum):
    """The state of a member in this process's view."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"
    LEFT = "left"


@dataclasses.dataclass(frozen=True, slots=True)
class MemberView:
    """One member in this process's view.

    Attributes:
      instance: Its identity and address.
      state: Its state. Live members of a failure domain without a recent
        summary are suspect.
      version: The model version that an agent serves; empty for none.
      settings_revision: The settings revision it reported; may be half a
        minute old.
      load: Its share of capacity in use; may be half a minute old. For a
        member of another failure domain, the mean of its service there.
    """

    instance: types.Instance
    state: MemberState
    version: str = ""
    settings_revision: int = 0
    load: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLoad:
    """The load of a service in one failure domain.

    Attributes:
      agents: The number of its live agents.
      load: Their mean share of capacity in use.
    """

    agents: int
    load: float


@dataclasses.dataclass(frozen=True, slots=True)
class DomainView:
    """Another failure domain in this process's view.

    Attributes:
      failure_domain: Its name.
      region: The region it belongs to.
      age_s: The age of its newest summary, received directly or through other
        members, in seconds.
      reachable: Whether the summary is recent enough to send it requests.
      services: Its services by name.
    """

    failure_domain: str
    region: str
    age_s: float
    reachable: bool
    services: dict[str, ServiceLoad]


@dataclasses.dataclass(frozen=True, slots=True)
class Seed:
    """An address at which a member may listen.

    Attributes:
      address: The address to send the first datagram to.
      failure_domain: Its failure domain; empty if that is not known.
    """

    address: types.Address
    failure_domain: str = ""
