"""Actions that `swim` returns and the service executes."""

import dataclasses

from clementinegw import types
from clementinegw.telemetry import events
from clementinegw.wire.gen.membership import ttypes


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send one datagram.

    Attributes:
      address: The receiver's address.
      gossip: The message.
    """

    address: types.Address
    gossip: ttypes.Gossip


@dataclasses.dataclass(frozen=True, slots=True)
class MemberChanged:
    """Notify the subscribers that a member changed.

    Attributes:
      instance_id: The id of the member.
    """

    instance_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Count:
    """Add one to a counter.

    Attributes:
      name: The counter's name.
    """

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class LogEvent:
    """Log a numbered event.

    Attributes:
      event: The event.
      subject: The instance or failure domain it is about.
    """

    event: events.Event
    subject: str


Action = Send | MemberChanged | Count | LogEvent
