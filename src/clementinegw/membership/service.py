"""Membership over UDP: the thin service around the decisions of `swim`."""

import asyncio
from collections.abc import Callable
import dataclasses
import random
import socket
from typing import Protocol

import mode

from clementinegw import clock as clocks
from clementinegw import exceptions
from clementinegw import types
from clementinegw.membership import _events
from clementinegw.membership import actions
from clementinegw.membership import datagram
from clementinegw.membership import parameters
from clementinegw.membership import swim
from clementinegw.membership import view
from clementinegw.telemetry import counters as counting
from clementinegw.telemetry import logs
from clementinegw.wire import auth

Callback = Callable[[view.MemberView], None]

_SEED_LIST_PERIOD_S = 10.0
# The list lags: what starts together with others reads it before they are on
# it, and would stay alone for a whole period.
_ALONE_SEED_LIST_PERIOD_S = 1.0
_MILLIS = 1000
# Datagrams read in one turn of the loop, and the bytes read of each.
_MAX_READS_PER_TURN = 64
_RECEIVE_BYTES = datagram.MAX_BYTES + 1


class SeedSource(Protocol):
    """Where addresses of members come from; the platform's list lags."""

    async def seeds(self) -> list[view.Seed]:
        """Returns the known addresses.

        Raises:
          exceptions.PlatformError: The list cannot be read now.
        """


class Membership(mode.Service):
    """This process's place among the members, and its view of the others."""

    def __init__(
        self,
        instance: types.Instance,
        keys: auth.KeyRing,
        *,
        seeds: tuple[view.Seed, ...] = (),
        source: SeedSource | None = None,
        options: parameters.Parameters | None = None,
        clock: clocks.Clock | None = None,
        rng: random.Random | None = None,
        log: logs.Log | None = None,
        counters: counting.Counters | None = None,
    ):
        """Prepares membership; it begins with `start`.

        Args:
          instance: This process; port 0 lets the kernel choose one. Its
            incarnation is replaced by the wall clock when that is larger.
          keys: The deployment's keys.
          seeds: Addresses from the instance file.
          source: The platform's list; None for the file's seeds only.
          options: Periods and bounds.
          clock: The source of time.
          rng: For random targets.
          log: For numbered events.
          counters: For refusals and costs.
        """
        super().__init__()
        self._clock = clock or clocks.SystemClock()
        incarnation = int(self._clock.wall() * _MILLIS)
        self._instance = dataclasses.replace(
            instance, incarnation=max(instance.incarnation, incarnation)
        )
        self._keys = keys
        self._file_seeds = seeds
        self._seed_source = source
        self._options = options or parameters.Parameters()
        self._rng = rng or random.Random()
        self._log_events = log or logs.Log()
        self._counters = counters or counting.Counters()
        self._callbacks: list[Callback] = []
        self._socket: socket.socket | None = None
        self._swim: swim.Swim | None = None

    @property
    def instance(self) -> types.Instance:
        """This process, with the port that the kernel chose."""
        return self._instance

    @property
    def settled(self) -> bool:
        """Whether the view was compared with a peer's since the last pause."""
        return self._swim is not None and self._swim.settled

    @property
    def size(self) -> int:
        """The number of members in this failure domain, oneself included."""
        return 0 if self._swim is None else self._swim.size

    @property
    def newest_settings_revision(self) -> int:
        """The largest settings revision that any member was heard to hold."""
        return 0 if self._swim is None else self._swim.newest_revision

    def set_keys(self, keys: auth.KeyRing) -> None:
        """Replaces the keys; peers with the old one need it in the ring."""
        self._keys = keys

    def members(
        self, role: types.Role | None = None, service: str | None = None
    ) -> list[view.MemberView]:
        """Returns the members that are present, this process included."""
        if self._swim is None:
            return []
        return self._swim.members(self._clock.now(), role, service)

    def member(self, instance_id: str) -> view.MemberView | None:
        """Returns one member, also when it is dead; None when unknown."""
        if self._swim is None:
            return None
        return self._swim.member(instance_id, self._clock.now())

    def domains(self) -> list[view.DomainView]:
        """Returns the other failure domains."""
        if self._swim is None:
            return []
        return self._swim.domains(self._clock.now())

    def subscribe(self, callback: Callback) -> None:
        """Calls back with each member whose state or version changed."""
        self._callbacks.append(callback)

    def set_self(
        self,
        state: view.MemberState | None = None,
        version: str | None = None,
        load: float | None = None,
        settings_revision: int | None = None,
    ) -> None:
        """Changes what this process says about itself; None leaves it."""
        if self._swim is None:
            return
        now = self._clock.now()
        self._execute(
            self._swim.set_self(now, state, version, load, settings_revision)
        )

    async def leave(self) -> None:
        """Tells the others that this process has left; they forget it."""
        self.set_self(state=view.MemberState.LEFT)
        await asyncio.sleep(self._options.leave_s)

    async def on_start(self) -> None:
        """Binds the socket and takes the first seeds."""
        self._socket = _bind(self._instance.address)
        host, port = self._socket.getsockname()[:2]
        self._instance = dataclasses.replace(
            self._instance, address=types.Address(host, port)
        )
        self._swim = swim.Swim(
            self._instance, self._options, self._rng, self._clock.now()
        )
        self._swim.set_seeds(self._file_seeds)
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket, self._on_readable)
        self.add_future(self._tick())
        if self._seed_source is not None:
            self.add_future(self._poll_seed_list(self._seed_source))

    async def on_stop(self) -> None:
        """Closes the socket."""
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    async def _tick(self) -> None:
        assert self._swim is not None
        while not self.should_stop:
            # Answers that wait in the socket count before any timeout does.
            self._on_readable()
            self._execute(self._swim.on_tick(self._clock.now()))
            await asyncio.sleep(self._options.tick_s)

    async def _poll_seed_list(self, source: SeedSource) -> None:
        assert self._swim is not None
        while not self.should_stop:
            try:
                listed = await source.seeds()
            except exceptions.PlatformError:
                self._counters.add("membership.list_unavailable")
            else:
                self._swim.set_seeds([*self._file_seeds, *listed])
            await asyncio.sleep(self._seed_list_period_s())

    def _seed_list_period_s(self) -> float:
        is_alone = len(self.members()) <= 1
        return _ALONE_SEED_LIST_PERIOD_S if is_alone else _SEED_LIST_PERIOD_S

    def _on_readable(self) -> None:
        # A transport of asyncio takes one datagram a turn of the loop. In a
        # process that is late its answers then wait behind its timers, it
        # suspects everybody, and the datagrams about that make it later still.
        for _ in range(_MAX_READS_PER_TURN):
            if self._socket is None:
                return
            try:
                data, source = self._socket.recvfrom(_RECEIVE_BYTES)
            except OSError:
                # Nothing waits, or a peer's port was closed.
                return
            self._on_data(data, source)

    def _on_data(self, data: bytes, source: tuple) -> None:
        self._counters.add("membership.datagrams_received")
        self._counters.add("membership.bytes_received", len(data))
        if self._swim is None:
            return
        try:
            message = datagram.unseal(data, self._keys)
        except exceptions.DecodeError as error:
            self._counters.add("membership.refused.datagram")
            self._log_events.write(
                _events.DATAGRAM_REFUSED, reason=error.message
            )
            return
        address = types.Address(source[0], source[1])
        self._execute(
            self._swim.on_datagram(message, address, self._clock.now())
        )

    def _execute(self, found: list[actions.Action]) -> None:
        for action in found:
            _HANDLERS[type(action)](self, action)

    def _send(self, action: actions.Send) -> None:
        if self._socket is None:
            return
        data = datagram.seal(action.gossip, self._keys)
        self._counters.add("membership.datagrams_sent")
        self._counters.add("membership.bytes_sent", len(data))
        address = action.address
        try:
            self._socket.sendto(data, (address.host, address.port))
        except OSError:
            # As lost as on the way; whoever needed it asks again.
            self._counters.add("membership.sends_failed")

    def _notify_subscribers(self, action: actions.MemberChanged) -> None:
        assert self._swim is not None
        member = self._swim.member(action.instance_id, self._clock.now())
        if member is None:
            return
        for callback in self._callbacks:
            callback(member)

    def _count(self, action: actions.Count) -> None:
        self._counters.add(action.name)

    def _log_event(self, action: actions.LogEvent) -> None:
        self._log_events.write(action.event, subject=action.subject)


def _bind(address: types.Address) -> socket.socket:
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_DGRAM)
    bound.setblocking(False)
    try:
        bound.bind((address.host, address.port))
    except OSError as error:
        bound.close()
        raise exceptions.SettingsError(
            f"cannot take datagrams at {address}: {error.strerror}"
        ) from error
    return bound


_HANDLERS: dict[type, Callable] = {
    actions.Send: Membership._send,
    actions.MemberChanged: Membership._notify_subscribers,
    actions.Count: Membership._count,
    actions.LogEvent: Membership._log_event,
}
