"""Stages chunks at an agent's backend server and verifies them there.

Staged data may become corrupt or belong to an older version, and the server
does not check it: it would generate tokens with corrupt layers. So every chunk
is read back and compared with its digest before a load order, which is sent
only while these readings are recent.
"""

import asyncio
import collections
from collections.abc import Callable, Coroutine, Iterable
import dataclasses
import functools
import hashlib
import math
from typing import Any

from clementinegw import exceptions
from clementinegw.direct import _events
from clementinegw.direct import agent_interfaces
from clementinegw.direct import expiry as expiry_lib
from clementinegw.telemetry import logs
from clementinegw.weights import store as stores

# How long before the server accepts a load order a chunk may have been read
# back, in seconds. The platform excuses a chunk that became corrupt within it.
_MAX_UNVERIFIED_S = 3.0
# Chunks that were read back longer ago are read again, in seconds. The rest of
# the time is left for the last look at the server's state and the order.
REREAD_AGE_S = 1.5
# The most passes of one verification. In the second one, only the chunks that
# were read too long ago are read again.
_MAX_PASSES = 2
# How long a pass over all chunks should take, in seconds. The number of
# concurrent calls doubles each time that it takes longer, within these limits.
_PASS_S = 0.3
_MIN_CONCURRENCY = 2
_MAX_CONCURRENCY = 64


def digest_of(data: bytes) -> bytes:
    """Returns the SHA-256 digest that identifies a chunk."""
    return hashlib.sha256(data).digest()


def chunks_of(layers: range, layer_count: int, chunk_count: int) -> range:
    """Returns the chunks that consecutive layers are loaded from.

    Args:
      layers: The layers.
      layer_count: The number of layers of the model.
      chunk_count: The number of chunks of a version.
    """
    first = layers.start * chunk_count // layer_count
    return range(first, -(-layers.stop * chunk_count // layer_count))


@dataclasses.dataclass(frozen=True, slots=True)
class Verification:
    """A successful verification of staged chunks.

    Attributes:
      oldest_read_at: When the first of the readings that count was sent, in
        boot seconds.
      reads: How many chunks were read back.
      limited: Whether as many were read at a time as the server allows.
      expiry: Until when a load order may rely on it.
    """

    oldest_read_at: float
    reads: int
    limited: bool
    expiry: expiry_lib.Expiry


@dataclasses.dataclass(slots=True)
class _Readings:
    """The readings of one verification.

    Attributes:
      staged: The numbers of the chunks that were staged before a pass.
      count: How many chunks were read, intact or not.
      sent_at: When each chunk was last read and found intact, in boot seconds.
    """

    staged: frozenset[int] = frozenset()
    count: int = 0
    sent_at: dict[int, float] = dataclasses.field(default_factory=dict)


class Stager:
    """Stages versions at one server."""

    def __init__(
        self,
        chunks: stores.MemoryStore,
        recheck: Callable[[], None],
        boot_clock: Callable[[], float],
        log: logs.Log,
    ):
        """Creates a stager that has staged nothing.

        Args:
          chunks: The chunks that the agent holds.
          recheck: Called when the agent lacks a chunk that it had fetched.
          boot_clock: Returns seconds that also count while the machine is
            suspended.
          log: Where events go.
        """
        self._chunks = chunks
        self._recheck = recheck
        self._clock = boot_clock
        self._log = log
        self._concurrency = _MIN_CONCURRENCY
        self._max_concurrency = _MAX_CONCURRENCY
        # The digests with which staged chunks were last read, by number.
        self._staged_digests: dict[int, bytes] = {}

    async def restore(
        self,
        local_server: agent_interfaces.LocalServer,
        manifest: agent_interfaces.VersionManifest,
    ) -> int:
        """Keeps staged chunks that match a version; returns how many did.

        Raises:
          exceptions.BackendError: The server did not answer.
        """
        restored = 0

        async def restore_chunk(number: int) -> bool:
            nonlocal restored
            data = await local_server.read_staged(number)
            if data is not None:
                self._staged_digests[number] = digest_of(data)
                if self._may_match(manifest, number):
                    wanted = manifest.digests[number]
                    restored += await self._chunks.put(wanted, data)
            return True

        staged = await local_server.staged()
        await self._run_concurrently(
            [
                number
                for number in range(len(manifest.digests))
                if number in staged and self._may_match(manifest, number)
            ],
            restore_chunk,
        )
        return restored

    async def stage(
        self,
        local_server: agent_interfaces.LocalServer,
        manifest: agent_interfaces.VersionManifest,
        numbers: range,
    ) -> Verification | None:
        """Stages chunks at the server and verifies them by reading them back.

        Args:
          local_server: The server.
          manifest: The version's manifest.
          numbers: The numbers of the chunks.

        Returns:
          The verification; None if a chunk was missing or corrupt.

        Raises:
          exceptions.BackendError: The server did not answer.
        """
        limited = self._concurrency >= min(len(numbers), self._max_concurrency)
        readings = _Readings()
        stage_chunk = functools.partial(
            self._stage_chunk, local_server, manifest, readings
        )
        for _ in range(_MAX_PASSES):
            oldest_at = self._clock() - REREAD_AGE_S
            due = [
                number
                for number in numbers
                if readings.sent_at.get(number, -math.inf) < oldest_at
            ]
            if not due:
                break
            readings.staged = await local_server.staged()
            if not await self._run_concurrently(due, stage_chunk):
                return None
        # A server that restarted meanwhile has lost the verified chunks.
        if not set(numbers) <= await local_server.staged():
            return None
        oldest_read_at = min(readings.sent_at.values())
        return Verification(
            oldest_read_at,
            readings.count,
            limited,
            expiry_lib.Expiry(oldest_read_at + _MAX_UNVERIFIED_S, self._clock),
        )

    async def _stage_chunk(
        self,
        local_server: agent_interfaces.LocalServer,
        manifest: agent_interfaces.VersionManifest,
        readings: _Readings,
        number: int,
    ) -> bool:
        """Stages a chunk unless it is staged; returns whether it is intact."""
        if (
            number in readings.staged
            and self._may_match(manifest, number)
            and await self._verify_chunk(
                local_server, manifest, readings, number
            )
        ):
            return True
        data = await self._chunks.get(manifest.digests[number])
        if data is None:
            self._recheck()
            return False
        await local_server.stage(number, data)
        if await self._verify_chunk(local_server, manifest, readings, number):
            return True
        self._log.write(_events.STAGED_SPOILT, piece=number)
        return False

    def _may_match(
        self, manifest: agent_interfaces.VersionManifest, number: int
    ) -> bool:
        """Returns whether a staged chunk may be the wanted one.

        It is not if it was last read with another digest.
        """
        wanted = manifest.digests[number]
        return self._staged_digests.get(number, wanted) == wanted

    async def _verify_chunk(
        self,
        local_server: agent_interfaces.LocalServer,
        manifest: agent_interfaces.VersionManifest,
        readings: _Readings,
        number: int,
    ) -> bool:
        """Returns whether a staged chunk is intact, and records the reading."""
        # Not the time of the answer: the server may have read the chunk long
        # before.
        sent_at = self._clock()
        readings.count += 1
        data = await local_server.read_staged(number)
        if data is None or digest_of(data) != manifest.digests[number]:
            self._staged_digests.pop(number, None)
            return False
        self._staged_digests[number] = manifest.digests[number]
        readings.sent_at[number] = sent_at
        return True

    async def _run_concurrently(
        self,
        numbers: Iterable[int],
        step: Callable[[int], Coroutine[Any, Any, bool]],
    ) -> bool:
        """Runs a step for each number, several of them at a time.

        Returns:
          Whether all steps returned True; the others are cancelled if not.

        Raises:
          exceptions.BackendError: A step failed. Fewer run at a time from then
            on, as the server may refuse so many connections.
        """
        waiting = collections.deque(numbers)
        running: set[asyncio.Task[bool]] = set()
        began_at = grown_at = self._clock()
        try:
            while waiting or running:
                while waiting and len(running) < self._concurrency:
                    running.add(asyncio.create_task(step(waiting.popleft())))
                done, _ = await asyncio.wait(
                    running,
                    timeout=_PASS_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not all([await task for task in done]):
                    return False
                running -= done
                now = self._clock()
                if now - grown_at >= _PASS_S:
                    self._concurrency = min(
                        self._max_concurrency, 2 * self._concurrency
                    )
                    grown_at = now
        except exceptions.BackendError:
            self._max_concurrency = max(
                _MIN_CONCURRENCY, self._concurrency // 2
            )
            self._concurrency = _MIN_CONCURRENCY
            raise
        finally:
            for task in running:
                task.cancel()
            await asyncio.gather(*running, return_exceptions=True)
        self._max_concurrency = min(_MAX_CONCURRENCY, self._max_concurrency + 1)
        if self._clock() - began_at < _PASS_S:
            self._concurrency = max(_MIN_CONCURRENCY, self._concurrency // 2)
        return True
