"""A simulated model engine for the requests bench in virtual time."""

import asyncio
import collections
import dataclasses
import json

from clementinegw import exceptions
from clementinegw import types
from clementinegw.backend import prefixes
from clementinegw.backend import types as backend_types
from clementinegw.gate import backends
from clementinegw.testing import ledger as ledger_lib

VERSION = "v1"
DIGEST = "d1"
DONE_EVENT = b"data: [DONE]\n\n"
TOKENS_PER_EVENT = 8
_POISON_DELAY_S = 0.03
_RESTART_DELAY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceTimes:
    """The time that a backend server needs for a request.

    Attributes:
      token_s: Seconds for each token of the answer.
      block_s: Seconds for each prompt block that is not in the cache.
      base_s: Fixed seconds for each request.
      batch_slowdown: Additional time in a full batch, as a fraction.
    """

    token_s: float = 0.004
    block_s: float = 0.006
    base_s: float = 0.01
    batch_slowdown: float = 0.0


class ModelBackend:
    """Simulates a model engine whose times depend only on prompt and load."""

    kind = types.ServiceKind.MODEL_ENGINE

    def __init__(
        self,
        name: str,
        ledger: ledger_lib.Ledger,
        speed: ServiceTimes,
        cache_blocks: int,
        capacity: int,
    ):
        """Creates an idle server with an empty cache.

        Args:
          name: The name of its agent.
          ledger: Records its runs.
          speed: The times that requests need.
          cache_blocks: Capacity of its prefix cache, in blocks.
          capacity: Number of requests in a full batch.
        """
        self._name = name
        self._ledger = ledger
        self._speed = speed
        self._cache_blocks = cache_blocks
        self._capacity = capacity
        self._cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._reported: list[int] = []
        self._running: dict[str, asyncio.Task | None] = {}
        self._runs: dict[str, ledger_lib.Run] = {}
        self._incarnation = 0
        self.slowness = 1.0
        self.up = True
        self.stalled = False
        self.hit_blocks = 0
        self.requested_blocks = 0

    def cached(self, hashes: tuple[int, ...]) -> int:
        """Returns the number of leading blocks that are in the cache."""
        for count in range(len(hashes), 0, -1):
            if hashes[count - 1] in self._cache:
                return count
        return 0

    def crash(self) -> None:
        """Ends all runs and keeps the server down until `restart`."""
        self.up = False
        self._incarnation += 1
        self._cache.clear()
        now = asyncio.get_running_loop().time()
        for run in self._runs.values():
            self._ledger.finish(run, ledger_lib.RunEnd.CRASHED, now)
        for task in list(self._running.values()):
            if task is not None:
                task.cancel()

    def restart(self) -> None:
        """Makes the server available again, with an empty cache."""
        self.up = True

    async def start(self, submit) -> backends.AnswerEvents:
        """Runs one attempt; see `backends.Backend`."""
        if not self.up:
            raise exceptions.BackendUnreachable("down")
        loop = asyncio.get_running_loop()
        body = json.loads(submit.body)
        if body.get("poison"):
            loop.call_later(_POISON_DELAY_S, self._crash_and_restart)
        hashes = prefixes.block_hashes(prefixes.prompt_text(body))
        run = self._ledger.start(
            submit.request_id,
            submit.idempotency_key,
            submit.path,
            self._name,
            loop.time(),
            submit.resume_tokens,
            self._incarnation,
        )
        self._runs[submit.request_id] = run
        incarnation = self._incarnation
        try:
            async for event in self._generate(submit, body, hashes):
                yield event
                if self._incarnation != incarnation:
                    raise exceptions.BackendLost("crashed")
        except (GeneratorExit, asyncio.CancelledError):
            self._ledger.finish(run, ledger_lib.RunEnd.DROPPED, loop.time())
            raise
        finally:
            self._runs.pop(submit.request_id, None)
        self._ledger.finish(
            run,
            ledger_lib.RunEnd.FINISHED,
            loop.time(),
            b"" if submit.stream else expected_answer(submit.request_id, body),
        )

    async def _generate(self, submit, body: dict, hashes: tuple[int, ...]):
        cached = self._use_cache(hashes)
        tokens = int(body["max_tokens"])
        left = tokens - submit.resume_tokens
        seconds = self._speed.base_s
        seconds += self._speed.block_s * (len(hashes) - cached)
        yield backend_types.Head(
            200, (("content-type", "application/json"),), VERSION, DIGEST
        )
        slowdown = (
            1.0 + self._speed.batch_slowdown * len(self._runs) / self._capacity
        )
        if submit.stream:
            await self._simulate_work(seconds * slowdown)
            step_s = self._speed.token_s * TOKENS_PER_EVENT * slowdown
            for event, at in stream_events(body):
                if at > submit.resume_tokens:
                    await self._simulate_work(step_s)
                    yield backend_types.Data(event, at)
            yield backend_types.Data(DONE_EVENT, tokens)
        else:
            seconds += self._speed.token_s * left
            await self._simulate_work(seconds * slowdown)
            yield backend_types.Data(
                expected_answer(submit.request_id, body), tokens
            )
        yield backend_types.End(tokens)

    def _crash_and_restart(self) -> None:
        if not self.up:
            return
        self.crash()
        asyncio.get_running_loop().call_later(_RESTART_DELAY_S, self.restart)

    async def _simulate_work(self, seconds: float) -> None:
        incarnation = self._incarnation
        # Sleeps in short steps to detect a crash or a stall.
        deadline = asyncio.get_running_loop().time() + seconds * self.slowness
        while True:
            left = deadline - asyncio.get_running_loop().time()
            if left <= 0 and not self.stalled:
                return
            await asyncio.sleep(max(0.01, min(left, 0.25)))
            if self._incarnation != incarnation:
                raise exceptions.BackendLost("crashed")

    def _use_cache(self, hashes: tuple[int, ...]) -> int:
        cached = self.cached(hashes)
        self.hit_blocks += cached
        self.requested_blocks += len(hashes)
        for block in hashes:
            self._cache.pop(block, None)
            self._cache[block] = None
        while len(self._cache) > self._cache_blocks:
            self._cache.popitem(last=False)
        return cached

    async def cancel(self, request_id: str) -> None:
        """Does nothing, since the gate closes the iterator of the run."""

    async def probe(self) -> backends.Health:
        """Returns that the server is healthy; hangs while it is stalled.

        Raises:
          BackendUnreachable: The server is down.
        """
        if not self.up:
            raise exceptions.BackendUnreachable("down")
        if self.stalled:
            await asyncio.sleep(3600.0)
        return backends.Health(True, VERSION, DIGEST)

    async def prefixes(self) -> list[int]:
        """Returns an incomplete list of cached blocks from the previous report.

        The list lags by one probe of the gate. One block in sixteen is never
        reported, which simulates lost cache events.
        """
        previous = self._reported
        self._reported = [block for block in self._cache if block % 16]
        return previous[-256:]


def stream_events(body: dict) -> list[tuple[bytes, int]]:
    """Returns pairs of a streamed event and the number of its last token."""
    tokens = int(body["max_tokens"])
    ends = [*range(TOKENS_PER_EVENT, tokens, TOKENS_PER_EVENT), tokens]
    suffix = body["prompt"][-17:]
    return [
        (f'id: {end}\ndata: {{"text": "{suffix}{end}"}}\n\n'.encode(), end)
        for end in ends
    ]


def streamed_answer(body: dict) -> bytes:
    """Returns the expected streamed answer to a request."""
    return b"".join(event for event, _ in stream_events(body)) + DONE_EVENT


def expected_answer(request_id: str, body: dict) -> bytes:
    """Returns the expected answer to a request that is not streamed."""
    text = f"{request_id}:{body['max_tokens']}:{len(body['prompt'])}"
    return json.dumps({"choices": [{"text": text}]}).encode()
