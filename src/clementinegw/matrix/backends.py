"""A backend server in memory, under the real gate."""

import asyncio
from collections.abc import AsyncGenerator
import dataclasses
from typing import Protocol

from clementinegw import exceptions
from clementinegw import types
from clementinegw.backend import types as backend
from clementinegw.gate import backends
from clementinegw.matrix import hosts
from clementinegw.matrix import world as worlds
from clementinegw.testing import ledger as ledgers
from clementinegw.wire.gen.requests import ttypes

WORK_S = 0.05
TOKENS = 6
TOKEN_S = 0.02
POISON = b"POISON"
LONG = b"LONG"
LONG_S = 2.0


class InPlace(Protocol):
    """What an engine computes with at this moment."""

    @property
    def version(self) -> str:
        """The version; empty without weights."""

    @property
    def digest(self) -> str:
        """The content digest."""


@dataclasses.dataclass(frozen=True, slots=True)
class Weights:
    """Weights that stay as they are."""

    version: str = "v1"
    digest: str = "digest-v1"


class MemoryBackend:
    """One backend server; a `gate.backends.Backend`.

    It works on a host of its own, so that it goes on when its agent dies.
    """

    def __init__(
        self,
        world: worlds.World,
        host: hosts.Host,
        kind: types.ServiceKind,
        tracked: str,
    ):
        """Starts idle.

        Args:
          world: Where it stands.
          host: Its own process.
          kind: What it is.
          tracked: The request whose steps are hooks.
        """
        self.weights: InPlace = Weights()
        self._flowing = asyncio.Event()
        self._flowing.set()
        self.cut_answers = 0
        self.down = False
        self.poisoned = 0
        self._world = world
        self._host = host
        self._kind = kind
        self._tracked = tracked
        self._runs: dict[asyncio.Task, ledgers.Run] = {}

    @property
    def kind(self) -> types.ServiceKind:
        """What it is."""
        return self._kind

    @property
    def host(self) -> hosts.Host:
        """Its process."""
        return self._host

    async def start(
        self, submit: ttypes.Submit
    ) -> AsyncGenerator[backend.AnswerEvent, None]:
        """Runs an attempt; see `gate.backends.Backend`."""
        self._reached(submit, "handed_over")
        if self.down:
            raise exceptions.BackendUnreachable(self._host.name)
        refused = self._refusal(submit)
        if refused:
            yield backend.Head(503, refused=refused)
            yield backend.End()
            return
        queue: asyncio.Queue[backend.AnswerEvent | Exception] = asyncio.Queue()
        task = self._world.start(self._host, self._run(submit, queue))
        self._runs[task] = self._begin(submit)
        task.add_done_callback(self._runs.pop)
        while True:
            event = await queue.get()
            if isinstance(event, Exception):
                raise event
            yield event
            if isinstance(event, backend.End):
                return

    async def cancel(self, request_id: str) -> None:
        """Stops a request at an engine; a plain service cannot."""
        if self._kind is types.ServiceKind.PLAIN:
            return
        for task, run in list(self._runs.items()):
            if run.request_id == request_id:
                self._finish(run, ledgers.RunEnd.CANCELLED)
                task.cancel()

    async def probe(self) -> backends.Health:
        """Answers unless it is down or stalled."""
        if self.down:
            raise exceptions.BackendUnreachable(self._host.name)
        await self._flowing.wait()
        if self._kind is types.ServiceKind.PLAIN:
            return backends.Health(True)
        return backends.Health(True, self.weights.version, self.weights.digest)

    async def prefixes(self) -> list[int]:
        """It has no cache."""
        return []

    def crash(self, restart_s: float) -> None:
        """Dies with all that runs, and comes back after some time."""
        self.down = True
        for task, run in list(self._runs.items()):
            self._finish(run, ledgers.RunEnd.CRASHED)
            task.cancel()
        self._world.later(restart_s, setattr, self, "down", False)

    def stall(self, seconds: float) -> None:
        """Sends nothing for some time, and closes nothing."""
        self._flowing.clear()
        self._world.later(seconds, self._flowing.set)

    def _begin(self, submit: ttypes.Submit) -> ledgers.Run:
        return self._world.ledger.start(
            submit.request_id,
            submit.idempotency_key,
            f"{submit.method} {submit.path}",
            self._host.name,
            self._world.clock.now(),
            submit.resume_tokens,
        )

    async def _run(self, submit: ttypes.Submit, queue: "asyncio.Queue") -> None:
        task = asyncio.current_task()
        assert task is not None
        run = self._runs[task]
        try:
            if POISON in submit.body:
                self.poisoned += 1
                self.crash(0.5)
            if submit.stream:
                await self._generate(submit, run, queue)
            else:
                await self._work(submit, run, queue)
        except asyncio.CancelledError:
            queue.put_nowait(exceptions.BackendLost(self._host.name))
            raise

    async def _work(
        self, submit: ttypes.Submit, run: ledgers.Run, queue: "asyncio.Queue"
    ) -> None:
        await asyncio.sleep(LONG_S if LONG in submit.body else WORK_S)
        await self._flowing.wait()
        body = answer_of(submit.request_id, submit.body)
        self._finish(run, ledgers.RunEnd.FINISHED, body)
        self._reached(submit, "ran")
        await self._flowing.wait()
        if self._cuts(queue):
            return
        queue.put_nowait(self._head())
        middle = len(body) // 2
        queue.put_nowait(backend.Data(body[:middle]))
        queue.put_nowait(backend.Data(body[middle:]))
        queue.put_nowait(backend.End())

    async def _generate(
        self, submit: ttypes.Submit, run: ledgers.Run, queue: "asyncio.Queue"
    ) -> None:
        queue.put_nowait(self._head())
        for number in range(submit.resume_tokens + 1, TOKENS + 1):
            await asyncio.sleep(TOKEN_S)
            await self._flowing.wait()
            if number == TOKENS // 2:
                self._reached(submit, "streaming")
                await self._flowing.wait()
            if self._cuts(queue):
                return
            data = token_of(submit.body, self.weights.version, number)
            queue.put_nowait(backend.Data(data, number))
        self._finish(run, ledgers.RunEnd.FINISHED)
        self._reached(submit, "ran")
        queue.put_nowait(backend.End(TOKENS))

    def _refusal(self, submit: ttypes.Submit) -> str:
        if self._kind is types.ServiceKind.PLAIN:
            return ""
        if not self.weights.version:
            return "no_weights"
        if submit.version not in ("", self.weights.version):
            return "wrong_version"
        return ""

    def _cuts(self, queue: "asyncio.Queue") -> bool:
        if not self.cut_answers:
            return False
        self.cut_answers -= 1
        queue.put_nowait(self._head())
        queue.put_nowait(backend.Data(b"id: 1\ndata: cu"))
        queue.put_nowait(exceptions.BackendLost("the answer was cut"))
        return True

    def _head(self) -> backend.Head:
        if self._kind is types.ServiceKind.PLAIN:
            return backend.Head(200)
        return backend.Head(200, (), self.weights.version, self.weights.digest)

    def _finish(
        self, run: ledgers.Run, end: ledgers.RunEnd, answer: bytes = b""
    ) -> None:
        self._world.ledger.finish(run, end, self._world.clock.now(), answer)

    def _reached(self, submit: ttypes.Submit, step: str) -> None:
        if submit.request_id == self._tracked:
            self._world.reached(step)


def answer_of(request_id: str, body: bytes) -> bytes:
    """Returns the answer of a plain service."""
    return b"done " + request_id.encode() + b" " + body


def token_of(body: bytes, version: str, number: int) -> bytes:
    """Returns one event of an engine's answer."""
    text = f"{body.decode()} {version} {number}"
    return f"id: {number}\ndata: {text}\n\n".encode()


def stream_of(body: bytes, version: str) -> bytes:
    """Returns the whole streamed answer of a version."""
    numbers = range(1, TOKENS + 1)
    return b"".join(token_of(body, version, number) for number in numbers)
