"""The state of a request from its admission to its final answer."""

import dataclasses
import enum

from clementinegw.direct import budget
from clementinegw.direct import buffer_budget
from clementinegw.direct import catalog
from clementinegw.direct import client
from clementinegw.direct import expiry as expiry_lib
from clementinegw.direct import outcomes
from clementinegw.direct import queue
from clementinegw.direct import server as servers
from clementinegw.direct import types
from clementinegw.scheduling import places
from clementinegw.scheduling import rank as ranks
from clementinegw.scheduling import server_memory


@dataclasses.dataclass(frozen=True, slots=True)
class Takeover:
    """A retry that is certain to be possible.

    Attributes:
      reservation: The server that is reserved for it.
      charge: Its charge to the retry budget.
    """

    reservation: queue.Reservation
    charge: budget.Charge


class AnswerIdentity(enum.StrEnum):
    """Which attempt the head of an answer names."""

    OWN = "own"
    OTHER = "other"
    NONE = "none"


@dataclasses.dataclass(slots=True)
class Exchange:
    """What was observed of one send of a request, for the log.

    Attributes:
      connection: The number of the connection.
      former_calls: How many calls the connection had made before.
      former_sends: How often the same request had been sent on it before.
      status: The status of the answer; None before its head.
      identity: Which attempt the answer names; None before its head.
      unread_bytes: The bytes that were received behind the head.
    """

    connection: int
    former_calls: int
    former_sends: int
    status: int | None = None
    identity: AnswerIdentity | None = None
    unread_bytes: int = 0

    @property
    def mismatch(self) -> outcomes.LostReason | None:
        """Why the answer is not known to be for this send; None if it is."""
        if self.identity is AnswerIdentity.OTHER:
            return outcomes.LostReason.CROSSED
        # On a new connection no other call can be answered.
        if self.identity is AnswerIdentity.NONE and self.former_calls:
            return outcomes.LostReason.UNIDENTIFIED
        return None

    def fields(self) -> dict[str, int | str | None]:
        """Returns the log fields."""
        return {
            "connection": self.connection,
            "former_calls": self.former_calls,
            "former_sends": self.former_sends,
            "answer_status": self.status,
            "answer_id": self.identity,
            "unread": self.unread_bytes,
        }


@dataclasses.dataclass(slots=True)
class Job:
    """The state of one request from its admission to its final answer.

    Attributes:
      request: The caller's request.
      metadata: What the request's headers say.
      match: The request's route and customer.
      service: The service that serves it.
      responder: Sends the answer to the caller.
      deadline: When the final answer is due, in monotonic seconds.
      expiry: The same in boot time, which also counts while the machine is
        suspended.
      spent_s: How long the caller has been trying before, in seconds.
      sends: How often it was sent to a server.
      runs: How often it may have begun to run.
      withdrawals: How often it was withdrawn right before it was sent.
      last_event_id: The id of the last event that the caller received.
      events: How many events of a stream the caller was sent.
      first_event_at: When the first event was received from a server, in
        monotonic seconds.
      waited_s: How long it waited in the entry's queue, in seconds.
      placed_at: When its last server was chosen, in monotonic seconds.
      permitted: Whether it holds a slot of that server's rate limit.
      failed_connect_s: Time spent on connections that failed, in seconds.
      connect_s: How long its last connection took to open, in seconds; 0 for
        one that was open.
      sent_at: When it was last sent, in monotonic seconds.
      sent_bytes: How many bytes were sent then, without the headers.
      connections: The numbers of the connections that it was sent on.
      exchange: What was observed of its last attempt; None before its send.
      begins_in_s: When its last server was expected to begin it after it was
        sent, in seconds; None if that does not matter.
      proofs: Why each send that was rejected has certainly not run.
      utilization: The estimated share of the last server's slots in use.
      server_id: The last server that was chosen for it.
      takeover: What is reserved to take it over from a silent server.
      charge: The charge of its current attempt; None for the first one.
      reached: Whether a server has begun to answer its last send.
      late_sends: How many of its sends were given up and may arrive later,
        without a charge that counts as unanswered for it.
      tried: The server starts where it may have run without success.
      answer_memory: The memory of answers that are buffered for it.
      memory: The memory that it needs at its server; None if unknown.
      answering: Whether a server has sent enough events to show that answering
        it crashes no server.
      suspect: The part of its prompt for which it is refused; empty for none.
      probe: Whether it is sent although it is suspected.
      fingerprint: Identifies the request among equal ones; empty until needed.
      suspect_check_at: When it is next found out whether it is suspected while
        it waits, in monotonic seconds.
    """

    request: servers.Request
    metadata: types.RequestMetadata
    match: catalog.RouteMatch
    service: str
    responder: servers.Responder
    deadline: float
    expiry: expiry_lib.Expiry
    spent_s: float = 0.0
    sends: int = 0
    runs: int = 0
    withdrawals: int = 0
    last_event_id: str | None = None
    events: int = 0
    first_event_at: float | None = None
    waited_s: float = 0.0
    placed_at: float = 0.0
    permitted: bool = False
    failed_connect_s: float = 0.0
    connect_s: float = 0.0
    sent_at: float | None = None
    sent_bytes: int = 0
    connections: list[int] = dataclasses.field(default_factory=list)
    exchange: Exchange | None = None
    begins_in_s: float | None = None
    proofs: list[outcomes.NotRunReason] = dataclasses.field(
        default_factory=list
    )
    utilization: float = 0.0
    server_id: str = ""
    takeover: Takeover | None = None
    charge: budget.Charge | None = None
    reached: bool = False
    late_sends: int = 0
    tried: set[types.ServerStart] = dataclasses.field(default_factory=set)
    answer_memory: buffer_budget.AnswerMemory = dataclasses.field(
        default_factory=lambda: buffer_budget.AnswerMemory(
            buffer_budget.BufferBudget()
        )
    )
    memory: server_memory.Need | None = None
    answering: bool = False
    suspect: str = ""
    probe: bool = False
    fingerprint: bytes = b""
    suspect_check_at: float = 0.0

    @property
    def customer_name(self) -> str:
        """The name of the customer; empty for an anonymous caller."""
        return self.match.customer.name if self.match.customer else ""

    @property
    def regions(self) -> places.Regions:
        """The regions that may serve it; None for any."""
        return self.match.regions

    @property
    def rank(self) -> ranks.Rank:
        """The rank of the request."""
        customer = self.match.customer
        return ranks.of(
            customer.priority if customer else None, self.match.route.priority
        )

    @property
    def streaming(self) -> bool:
        """Whether the answer is a stream."""
        return self.match.route.repeat_policy is types.RepeatPolicy.STREAM

    @property
    def may_have_run(self) -> bool:
        """Whether it was sent without a proof that it has not run."""
        return self.sends > len(self.proofs)

    @property
    def is_answered_by_name(self) -> bool:
        """Whether the answer to the last send names the request."""
        exchange = self.exchange
        return exchange is not None and (
            exchange.identity is AnswerIdentity.OWN
        )

    def record_reached(self) -> None:
        """Records that a server has begun to answer the last send."""
        self.reached = True
        if self.charge is not None and not self.late_sends:
            self.charge.confirm()

    def identify(self, attempt_id: str) -> AnswerIdentity:
        """Returns which attempt an answer names; its id is empty for none."""
        if not attempt_id:
            return AnswerIdentity.NONE
        if attempt_id == self.metadata.attempt_id:
            return AnswerIdentity.OWN
        return AnswerIdentity.OTHER

    def may_be_sent_on(self, connection: client.Connection) -> bool:
        """Returns whether an idle connection will do for the next send.

        A late second answer to one send would be taken for the answer to
        another one on the same connection: both bear the same attempt id.
        """
        # What broke the former attempt may have broken idle connections too,
        # and a request that is lost on one may have run.
        return not self.runs and connection.number not in self.connections

    def record_send(
        self, connection: client.Connection, now: float
    ) -> Exchange:
        """Records that the request is about to be sent.

        Args:
          connection: The connection that it is sent on.
          now: Monotonic seconds.
        """
        self.exchange = Exchange(
            connection.number,
            connection.calls,
            self.connections.count(connection.number),
        )
        self.connections.append(connection.number)
        self.sends += 1
        self.reached = False
        self.sent_at = now
        self.sent_bytes = len(self.request.body)
        return self.exchange

    def send_fields(self, now: float) -> dict[str, int | str | None]:
        """Returns the log fields of its last send.

        Args:
          now: Monotonic seconds.
        """
        if self.sent_at is None:
            return {}
        return {
            "connect_ms": round(1e3 * self.connect_s),
            "sent_ms": round(1e3 * (now - self.sent_at)),
            "bytes": self.sent_bytes,
            **(self.exchange.fields() if self.exchange else {}),
        }
