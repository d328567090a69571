"""The platform's list of live and leaving instances.

The list lags. It provides seeds for membership and a hint that an instance is
leaving, but proves neither.
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
    """The state of an instance on the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class ListedInstance:
    """An instance on the list.

    Attributes:
      instance: The instance as it announced itself.
      state: Its state.
    """

    instance: types.Instance
    state: State


class InstanceList(Protocol):
    """Reads the list and announces instances to it."""

    async def fetch(self) -> list[ListedInstance]:
        """Returns the list.

        Raises:
          exceptions.PlatformUnavailable: There was no usable answer.
        """

    async def announce(
        self, instance: types.Instance, state: State = State.LIVE
    ) -> None:
        """Announces an instance or its new state to the platform.

        Raises:
          exceptions.PlatformUnavailable: There was no answer. Announcing
            again is harmless.
        """


class ListedInstanceModel(pydantic.BaseModel):
    """An instance on the list, in the platform's format."""

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
        """Returns the model of a listed instance."""
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
        """Returns the listed instance that the model describes."""
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
    """The list, in the platform's format."""

    instances: list[ListedInstanceModel]


class HttpInstanceList:
    """An HTTP client of the platform's instance list."""

    def __init__(
        self,
        base_url: str,
        session: aiohttp.ClientSession,
        timeout_s: float = 5.0,
        counters: metrics.Counters | None = None,
        log: logs.Log | None = None,
        rng: random.Random | None = None,
    ):
        """Creates the client; it connects with the first call.

        Args:
          base_url: The base URL of the list.
          session: Sends the calls; closed by its owner.
          timeout_s: The timeout of a call, in seconds.
          counters: Counts failures and retries.
          log: Receives the events of the list becoming unavailable and
            available.
          rng: The source of the jitter between retries.
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
        """Announces an instance; see `InstanceList`."""
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
