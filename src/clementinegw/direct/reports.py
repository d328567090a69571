"""What backend servers are doing, in datagrams from agents to entries.

The platform's list is a heartbeat behind and a server's own report costs a
call. The agent beside a server asks for nothing, so it tells every entry that
has subscribed; a lost datagram is made good by the next one.
"""

import asyncio
from collections.abc import Callable, Mapping
import dataclasses

from clementinegw import exceptions
from clementinegw import types
from clementinegw.wire import codec
from clementinegw.wire.gen.reports import ttypes

# A subscription that is not renewed ends after this, in seconds; entries
# renew it more often by some times.
KEEP_S = 4.0
_MOST_SUBSCRIBERS = 512
# Of so many reports an entry in another region gets one, unless the server's
# weights have changed. Bytes between regions are paid for, and with 43 entries
# reports took a tenth of a machine's link; servers far away get few requests.
_FAR_EVERY = 4
# So many entries of the own region get every report; with more of them each
# gets every second one, and so on. A report takes 58 bytes and its headers,
# and taking them in was a third of what an entry before 31 agents ran.
_NEAR_EACH_TIME = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What an agent tells of the server beside it.

    Attributes:
      server_id: The server's present start; empty when it is not known.
      running: Requests that it works on.
      waiting: Requests in its queue.
      slots: Requests that it runs at once.
      model: The model it holds; empty for none.
      version: The version of the weights it holds; 0 for none.
      whole: Whether every layer is there.
      loading: Whether it takes no requests because it loads weights.
      pace: How many times slower than usual it works.
      yielding: Whether it is about to load, so that others are preferred.
      entries: Entries that ask its agent for reports.
      ready_in_s: About when it serves again, in seconds; negative when that is
        not known.
    """

    server_id: str
    running: int
    waiting: int
    slots: int
    model: str = ""
    version: int = 0
    whole: bool = False
    loading: bool = False
    pace: float = 1.0
    yielding: bool = False
    entries: int = 0
    ready_in_s: float = -1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Subscriber:
    until: float
    far: bool


class Reporter(asyncio.DatagramProtocol):
    """The agent's side."""

    def __init__(self, on_declared: Callable[[Mapping[str, int]], None]):
        """Does nothing before it is bound.

        Args:
          on_declared: Takes the versions that an entry knows to be declared.
        """
        self._on_declared = on_declared
        self._transport: asyncio.DatagramTransport | None = None
        self._subscribers: dict[tuple, _Subscriber] = {}
        self._told = 0
        self._former: tuple = ()

    def connection_made(self, transport) -> None:
        """Called by asyncio."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Takes a subscription."""
        try:
            message = codec.decode(ttypes.Subscribe, data)
        except exceptions.DecodeError:
            return
        now = asyncio.get_running_loop().time()
        if addr in self._subscribers or (
            len(self._subscribers) < _MOST_SUBSCRIBERS
        ):
            until = now + KEEP_S
            self._subscribers[addr] = _Subscriber(until, bool(message.far))
        self._on_declared(message.declared)

    @property
    def entries(self) -> int:
        """How many have subscribed."""
        return len(self._subscribers)

    def tell(self, report: Report) -> None:
        """Sends a report to whoever has subscribed."""
        if self._transport is None:
            return
        now = asyncio.get_running_loop().time()
        news = self._is_news(report)
        self._told += 1
        near = news or not self._told % self._near_every
        far = news or not self._told % _FAR_EVERY
        data = codec.encode(ttypes.BackendReport(**dataclasses.asdict(report)))
        for addr, subscriber in list(self._subscribers.items()):
            if subscriber.until < now:
                del self._subscribers[addr]
            elif far if subscriber.far else near:
                self._transport.sendto(data, addr)

    @property
    def _near_every(self) -> int:
        near = sum(1 for s in self._subscribers.values() if not s.far)
        return min(_FAR_EVERY, 1 + near // (_NEAR_EACH_TIME + 1))

    def _is_news(self, report: Report) -> bool:
        """Returns whether every entry is told of a report at once."""
        told = (
            report.server_id,
            report.version,
            report.whole,
            report.loading,
            report.yielding,
        )
        changed = told != self._former
        self._former = told
        return changed

    def close(self) -> None:
        """Ends it."""
        if self._transport is not None:
            self._transport.close()


class Listener(asyncio.DatagramProtocol):
    """The entry's side."""

    def __init__(self, name: str, on_report: Callable[[str, Report], None]):
        """Does nothing before it is bound.

        Args:
          name: This entry.
          on_report: Takes the IP address a report came from, and the report.
        """
        self._name = name
        self._on_report = on_report
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport) -> None:
        """Called by asyncio."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Takes a report."""
        try:
            message = codec.decode(ttypes.BackendReport, data)
        except exceptions.DecodeError:
            return
        self._on_report(
            addr[0],
            Report(
                message.server_id,
                message.running,
                message.waiting,
                message.slots,
                message.model,
                message.version,
                message.whole,
                message.loading,
                message.pace,
                message.yielding,
                message.entries,
                message.ready_in_s,
            ),
        )

    def subscribe(
        self, agents: Mapping[types.Address, bool], declared: Mapping[str, int]
    ) -> None:
        """Asks agents for reports.

        Args:
          agents: Whether each stands in another region.
          declared: The versions of weights that are known to be declared.
        """
        if self._transport is None:
            return
        data = {
            far: codec.encode(ttypes.Subscribe(self._name, dict(declared), far))
            for far in (False, True)
        }
        for agent, far in agents.items():
            self._transport.sendto(data[far], (agent.host, agent.port))

    def close(self) -> None:
        """Ends it."""
        if self._transport is not None:
            self._transport.close()
