"""The platform's list of live and leaving instances, which lags.

It is a seed for membership and a hint about leaving, never a proof of either.
"""

import dataclasses
import enum
import http
import random
from typing import Protocol

import aiohttp
import pydantic

from clementinegw import types
from clementinegw.platform import _http
from clementinegw.telemetry import counters as metrics
from clementinegw.telemetry import logs


class State(enum.StrEnum):
    """What the platform says of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class ListedInstance:
    """One line of the list.

    Attributes:
      instance: The instance as it announced itself.
      state: What the platform says of it.
    """

    instance: types.Instance
    state: State


class InstanceList(Protocol):
    """Reads the list and announces to it."""

    async def fetch(self) -> list[ListedInstance]:
        """Returns the list.

        Raises:
          exceptions.PlatformUnavailable: No answer came, or no such list.
        """

    async def announce(
        self, instance: types.Instance, state: State = State.LIVE
    ) -> None:
        """Tells the platform of an instance or of its new state.

        Raises:
          exceptions.PlatformUnavailable: No answer came. Announcing again is
            harmless.
        """


class ListedInstanceModel(pydantic.BaseModel):
    """A line of the list as the platform writes it."""

    instance_id: str = pydantic.Field(min_length=1)
    role: types.Role
    region: str
    failure_domain: str
    host: pydantic.IPvAnyAddress
    port: int = pydantic.Field(ge=1, le=65535)
    incarnation: int = 0
    service: str = ""
    state: State = State.LIVE

    @classmethod
    def from_listed(cls, listed: ListedInstance) -> "ListedInstanceModel":
        """Returns the form to send."""
        instance = listed.instance
        return cls.model_validate(
            {
                "instance_id": instance.instance_id,
                "role": instance.role,
                "region": instance.place.region,
                "failure_domain": instance.place.failure_domain,
                "host": instance.address.host,
                "port": instance.address.port,
                "incarnation": instance.incarnation,
                "service": instance.service,
                "state": listed.state,
            }
        )

    def to_listed(self) -> ListedInstance:
        """Returns the form used inside."""
        instance = types.Instance(
            instance_id=self.instance_id,
            role=self.role,
            place=types.Place(self.region, self.failure_domain),
            address=types.Address(str(self.host), self.port),
            incarnation=self.incarnation,
            service=self.service,
        )
        return ListedInstance(instance, self.state)


class _ListModel(pydantic.BaseModel):
    """The list as the platform writes it."""

    instances: list[ListedInstanceModel]


class HttpInstanceList:
    """The platform's instance list over HTTP."""

    def __init__(
        self,
        base_url: str,
        session: aiohttp.ClientSession,
        timeout_s: float = 5.0,
        counters: metrics.Counters | None = None,
        log: logs.Log | None = None,
        rng: random.Random | None = None,
    ):
        """Keeps the address; connects with the first call.

        Args:
          base_url: Where the list is.
          session: Sends the calls; closed by its owner.
          timeout_s: How long a call may take.
          counters: Counts failures and retries.
          log: Takes the events of the list going and coming back.
          rng: The source of the pauses' jitter.
        """
        self._client = _http.Client(
            "instances", base_url, session, timeout_s, counters, log, rng=rng
        )

    async def fetch(self) -> list[ListedInstance]:
        """Returns the list; see `InstanceList`."""
        reply = await self._client.call("GET", "/instances", idempotent=True)
        self._check(reply)
        model = self._client.parse(_ListModel, reply.body)
        return [line.to_listed() for line in model.instances]

    async def announce(
        self, instance: types.Instance, state: State = State.LIVE
    ) -> None:
        """Tells the platform of an instance; see `InstanceList`."""
        model = ListedInstanceModel.from_listed(ListedInstance(instance, state))
        reply = await self._client.call(
            "POST",
            "/instances",
            idempotent=True,
            data=model.model_dump_json().encode(),
            headers={"Content-Type": "application/json"},
        )
        self._check(reply)

    def _check(self, reply: _http.Reply) -> None:
        if reply.status >= http.HTTPStatus.BAD_REQUEST:
            raise self._client.unexpected_status(reply)
