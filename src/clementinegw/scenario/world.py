"""What a scenario is played against."""

import dataclasses
from typing import Protocol

from clementinegw import clock as clocks
from clementinegw.scenario import types
from clementinegw.testing import ledger as ledgers


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One request to be sent.

    Attributes:
      load: Which load it belongs to.
      number: Its place in the load, from 0.
      attempt: How often it was sent before, from 0.
      draw: A number drawn at random for it, at least 0 and below 1.
    """

    load: types.Load
    number: int
    attempt: int
    draw: float


@dataclasses.dataclass(frozen=True, slots=True)
class Observed:
    """What a caller saw of one request.

    Attributes:
      seen: In the form that the ledger judges.
      reason: Why it was not run or is unknown; empty for an answer.
      seconds: From sending it to its end.
      wrong: Whether the answer is not the one that this request and the
        version it names must give.
    """

    seen: ledgers.CallerRecord
    reason: str
    seconds: float
    wrong: bool


class World(Protocol):
    """A running deployment with its callers and operators."""

    @property
    def clock(self) -> clocks.Clock:
        """The time that everything runs in."""

    @property
    def ledger(self) -> ledgers.Ledger:
        """What the backend servers saw."""

    async def start(self) -> None:
        """Starts all of it; returns when every worker serves."""

    async def stop(self) -> None:
        """Ends all of it."""

    async def act(self, action: types.Action) -> None:
        """Does one thing; returns when it is done."""

    async def send(self, call: Call) -> Observed:
        """Sends a request and waits for its end."""

    def measure(self, quantity: types.Quantity) -> float:
        """Returns what the deployment shows, requests' outcomes excepted."""

    def everyone(self, quantity: types.Quantity) -> float:
        """Returns how many processes the quantity could count at most."""
