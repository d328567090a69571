"""Times and actions of the swap."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Times of the protocol, in seconds.

    Attributes:
      ttl_s: How long a lease lasts while its holder drains.
      max_load_s: The longest that a load may take; the lease covers it whole,
        since a load that has begun cannot be given up.
      holder_share: The part of a lease that its holder uses, so that clocks
        of unequal rate do no harm.
      retry_s: How long to wait for an append to be read back.
      stagger_s: Between those that wait, before each ends a dead one's lease.
      refresh_s: How long to wait in the queue before asking anew; far less
        than the log keeps records.
      max_send_delay_s: How long after its permit an order may still be sent.
      read_pause_per_place_s: Between two reads, for each worker that waits
        before this one.
      max_read_pause_s: Between two reads.
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
        """How long a lease lasts that covers a whole load."""
        return (self.max_load_s + self.max_send_delay_s) / self.holder_share


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Append a record to the service's stream; the read-back tells the end."""

    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The worker may leave service."""


@dataclasses.dataclass(frozen=True, slots=True)
class Covered:
    """The lease covers a whole load whose order is sent in time.

    Attributes:
      send_before: The order must not be sent later than this.
    """

    send_before: float


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The lease has lapsed: a worker that is not yet loading must serve."""


Action = Append | Granted | Covered | Lost
