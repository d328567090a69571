"""Membership over UDP: sockets, timers and seeds for `swim.Swim`."""

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
# The platform's list lags. A process that starts together with others reads it
# before they are listed, and would stay alone for a whole regular period.
_ALONE_SEED_LIST_PERIOD_S = 1.0
_MILLIS = 1000
# The maximum number of datagrams read in one turn of the event loop.
_MAX_READS_PER_TURN = 64
# One more byte than allowed, so that larger datagrams are recognised.
_RECEIVE_BYTES = datagram.MAX_BYTES + 1


class SeedSource(Protocol):
    """A source of seeds, such as the platform's list, which lags."""

    async def seeds(self) -> list[view.Seed]:
        """Returns the listed seeds.

        Raises:
          exceptions.PlatformError: The list is unavailable.
        """


class Membership(mode.Service):
    """Runs this process as a member and provides its view of the others."""

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
        """Initializes the service; `start` joins the other members.

        Args:
          instance: This process; with port 0 the kernel chooses a port. Its
            incarnation is replaced by the wall clock in milliseconds if that
            is larger.
          keys: The deployment's keys.
          seeds: Addresses from the instance file.
          source: The platform's list; None for the file's seeds only.
          options: Periods and limits.
          clock: The source of time.
          rng: The source of random targets.
          log: Receives numbered events.
          counters: Counts datagrams, bytes and refusals.
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
        """This process, with the port that it is bound to."""
        return self._instance

    @property
    def settled(self) -> bool:
        """Whether the view is settled since the last pause."""
        return self._swim is not None and self._swim.settled

    @property
    def size(self) -> int:
        """The number of members in this failure domain, with this process."""
        return 0 if self._swim is None else self._swim.size

    @property
    def newest_settings_revision(self) -> int:
        """The largest settings revision that any member has reported."""
        return 0 if self._swim is None else self._swim.newest_revision

    def set_keys(self, keys: auth.KeyRing) -> None:
        """Replaces the keys; peers' active keys must be in the ring."""
        self._keys = keys

    def members(
        self, role: types.Role | None = None, service: str | None = None
    ) -> list[view.MemberView]:
        """Returns the members that have not died or left, with this process."""
        if self._swim is None:
            return []
        return self._swim.members(self._clock.now(), role, service)

    def member(self, instance_id: str) -> view.MemberView | None:
        """Returns one member, even if it is dead; None if it is unknown."""
        if self._swim is None:
            return None
        return self._swim.member(instance_id, self._clock.now())

    def domains(self) -> list[view.DomainView]:
        """Returns the other failure domains."""
        if self._swim is None:
            return []
        return self._swim.domains(self._clock.now())

    def subscribe(self, callback: Callback) -> None:
        """Registers a callback for each member whose record changes."""
        self._callbacks.append(callback)

    def set_self(
        self,
        state: view.MemberState | None = None,
        version: str | None = None,
        load: float | None = None,
        settings_revision: int | None = None,
    ) -> None:
        """Changes what this process announces; None keeps a value."""
        if self._swim is None:
            return
        now = self._clock.now()
        self._execute(
            self._swim.set_self(now, state, version, load, settings_revision)
        )

    async def leave(self) -> None:
        """Announces for `Parameters.leave_s` that this process has left."""
        self.set_self(state=view.MemberState.LEFT)
        await asyncio.sleep(self._options.leave_s)

    async def on_start(self) -> None:
        """Binds the socket and starts with the seeds of the instance file."""
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
            # Reads answers before timeouts are processed, so that an answer
            # that arrived in time is not missed.
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
        # An asyncio transport reads one datagram in each turn of the loop. In
        # an overloaded process answers would then wait behind its timers, it
        # would suspect all peers, and the datagrams caused by that would
        # increase the overload.
        for _ in range(_MAX_READS_PER_TURN):
            if self._socket is None:
                return
            try:
                data, source = self._socket.recvfrom(_RECEIVE_BYTES)
            except OSError:
                # No datagram is waiting, or a peer's port was closed.
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

    def _execute(self, requested: list[actions.Action]) -> None:
        for action in requested:
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
            # The datagram counts as lost; the protocol tolerates loss.
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
    udp_socket = socket.socket(family, socket.SOCK_DGRAM)
    udp_socket.setblocking(False)
    try:
        udp_socket.bind((address.host, address.port))
    except OSError as error:
        udp_socket.close()
        raise exceptions.SettingsError(
            f"cannot bind UDP socket to {address}: {error.strerror}"
        ) from error
    return udp_socket


_HANDLERS: dict[type, Callable] = {
    actions.Send: Membership._send,
    actions.MemberChanged: Membership._notify_subscribers,
    actions.Count: Membership._count,
    actions.LogEvent: Membership._log_event,
}
