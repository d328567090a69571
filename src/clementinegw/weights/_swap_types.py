"""Time settings and actions of the swap."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """The protocol's time settings, in seconds.

    Attributes:
      ttl_s: How long a lease lasts while its holder drains.
      max_load_s: The longest time a load may take. The lease covers all of it,
        because a load that has begun cannot be aborted.
      holder_share: The share of a lease's time that its holder uses, as a
        margin for clocks that run at different rates.
      retry_s: How long to wait for an append to be read back before it is
        repeated.
      stagger_s: The delay per place in the queue before a waiting worker ends
        an expired lease, so that not all of them append an EXPIRE at once.
      refresh_s: How long to wait in the queue before asking again; far shorter
        than the retention time of the log.
      max_send_delay_s: How long after the renewal that covers it an order may
        be sent.
      read_pause_per_place_s: The pause between two reads for each worker that
        waits before this one.
      max_read_pause_s: The longest pause between two reads.
    """

    ttl_s: float = 10.0
    max_load_s: float = 120.0
    holder_share: float = 0.8
    retry_s: float = 2.0
    stagger_s: float = 0.5
    refresh_s: float = 600.0
    max_send_delay_s: float = 2.0
    read_pause_per_place_s: float = 0.01
    max_read_pause_s: float = 1.0

    @property
    def load_ttl_s(self) -> float:
        """The duration of a lease that covers a whole load, in seconds."""
        return (self.max_load_s + self.max_send_delay_s) / self.holder_share


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Append a record to the service's stream.

    Whether it took effect is known once it is read back.

    Attributes:
      value: The encoded record.
    """

    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """Report that the worker may leave service."""


@dataclasses.dataclass(frozen=True, slots=True)
class Covered:
    """Report that the lease covers a whole load if the order is sent in time.

    Attributes:
      send_before: The latest time to send the order, in monotonic seconds.
    """

    send_before: float


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """Report that the lease has expired.

    A worker that is not yet loading must serve again.
    """


Action = Append | Granted | Covered | Lost
