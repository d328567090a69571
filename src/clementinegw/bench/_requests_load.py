"""The requests that callers of the bench send, and what became of them."""

import asyncio
import collections
from collections.abc import Awaitable, Callable
import dataclasses
import json
import random

from clementinegw import types
from clementinegw.backend import prefixes
from clementinegw.requests import types as request_types
from clementinegw.testing import ledger as ledger_lib

# Ten customers, a few of them large.
SHARES = (5.0, 3.0, 2.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0)
_PRIORITIES = (types.Priority.HIGH, types.Priority.NORMAL, types.Priority.LOW)
_PRIORITY_WEIGHTS = (0.1, 0.7, 0.2)
_ASK_AGAIN_S = 0.5
_TOKENS_MU = 3.9
_TOKENS_SIGMA = 0.6
_MIN_TOKENS = 4
_MAX_TOKENS = 256
TEMPLATE_BLOCKS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """What is offered.

    Attributes:
      rate: Requests a second over all entries.
      seconds: How long.
      warm_up_s: How long before anything is measured.
      templates: Different prompt beginnings.
      heavy: How many times its share the last but one customer sends.
      heavy_customer: Which customer that is.
      deadline_s: What callers wait.
      keyed: The part of requests that must not run twice and carry a key.
      streams: The part of the others whose answers are streamed.
      poison: The part of requests that crash each server that runs them.
      repeat: How often a refused caller comes again when it is told to.
    """

    rate: float
    seconds: float
    warm_up_s: float = 10.0
    templates: int = 40
    heavy: float = 1.0
    heavy_customer: int = 0
    deadline_s: float = 10.0
    keyed: float = 0.0
    streams: float = 0.0
    poison: float = 0.0
    repeat: int = 0


@dataclasses.dataclass(slots=True)
class Sample:
    """One request as its caller saw it.

    Attributes:
      customer: Whose it was.
      priority: Its urgency.
      at: When it was sent.
      seconds: How long until the outcome, from the first time it asked.
      call_seconds: How long until the outcome of this call.
      outcome: The outcome.
      seen: The same for the ledger.
    """

    customer: int
    priority: types.Priority
    at: float
    seconds: float
    call_seconds: float
    outcome: types.Outcome
    seen: ledger_lib.CallerRecord


Send = Callable[
    [int, request_types.Request, request_types.Sink | None],
    Awaitable[types.Outcome],
]
AnswerOf = Callable[[request_types.Request, dict], bytes]


class Received:
    """Takes a streamed answer as a caller does."""

    def __init__(self) -> None:
        self.body = b""

    async def head(self, head: request_types.Head) -> None:
        """Takes the head."""

    async def data(self, data: bytes) -> None:
        """Takes events."""
        self.body += data


class Callers:
    """Open-loop callers: they do not wait for each other."""

    def __init__(
        self,
        traffic: Traffic,
        service: str,
        entries: int,
        rng: random.Random,
        send: Send,
        answer_of: AnswerOf,
    ):
        """Prepares the callers.

        Args:
          traffic: What they offer.
          service: The service they ask.
          entries: Entries that the balancer spreads them over.
          rng: Decides everything about them.
          send: Sends a request to the entry of a number.
          answer_of: Returns the right answer to a request.
        """
        self._traffic = traffic
        self._service = service
        self._entries = entries
        self._rng = rng
        self._send = send
        self._answer_of = answer_of
        self._weights = list(SHARES)
        self._weights[traffic.heavy_customer] *= traffic.heavy
        self._count = 0
        self.samples: list[Sample] = []

    @property
    def rate(self) -> float:
        """Requests a second, with what the heavy customer adds."""
        return self._traffic.rate * sum(self._weights) / sum(SHARES)

    async def run(self) -> None:
        """Sends for the set time and waits for every outcome."""
        loop = asyncio.get_running_loop()
        until = loop.time() + self._traffic.seconds
        due = loop.time()
        tasks = set()
        while True:
            due += self._rng.expovariate(self.rate)
            if due >= until:
                break
            await asyncio.sleep(max(0.0, due - loop.time()))
            task = asyncio.ensure_future(self._call(self._next()))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)

    def _next(self) -> tuple[int, int, request_types.Request, dict]:
        """Draws everything about a request, whatever becomes of it.

        Drawn in the order of arrival and from one source, so that every policy
        meets the same requests.
        """
        rng = self._rng
        self._count += 1
        number = self._count
        customer = rng.choices(range(len(SHARES)), self._weights)[0]
        priority = rng.choices(_PRIORITIES, _PRIORITY_WEIGHTS)[0]
        length = rng.lognormvariate(_TOKENS_MU, _TOKENS_SIGMA)
        tokens = int(min(_MAX_TOKENS, max(_MIN_TOKENS, length)))
        template = rng.randrange(self._traffic.templates)
        keyed = rng.random() < self._traffic.keyed
        stream = not keyed and rng.random() < self._traffic.streams
        poison = rng.random() < self._traffic.poison
        entry = rng.randrange(self._entries)
        prompt = _prompt(template, number)
        body = {
            "model": self._service,
            "prompt": prompt,
            "max_tokens": tokens,
        }
        if poison:
            body["poison"] = True
        request = request_types.Request(
            request_id=f"r{number}",
            customer=f"customer-{customer}",
            service=self._service,
            method="POST",
            path="/v1/completions",
            headers=(("content-type", "application/json"),),
            body=json.dumps(body).encode(),
            priority=priority,
            deadline=0.0,
            idempotent=not keyed,
            key=f"key-{number}" if keyed else "",
            fingerprint=number.to_bytes(16, "big"),
            stream=stream,
            tokens=tokens,
            prefixes=prefixes.block_hashes(prompt),
        )
        return customer, entry, request, body

    async def _call(
        self, drawn: tuple[int, int, request_types.Request, dict]
    ) -> None:
        customer, entry, request, body = drawn
        loop = asyncio.get_running_loop()
        began = loop.time()
        left = self._traffic.repeat
        while True:
            called = loop.time()
            request.deadline = called + self._traffic.deadline_s
            sink = Received() if request.stream else None
            outcome = await self._send(entry, request, sink)
            self.samples.append(
                Sample(
                    customer,
                    request.priority,
                    began,
                    loop.time() - began,
                    loop.time() - called,
                    outcome,
                    self._seen(request, body, outcome, sink),
                )
            )
            after_s = _comes_again(request, outcome)
            if after_s is None or not left:
                return
            left -= 1
            await asyncio.sleep(after_s)
            # Through another entry, as the balancer happens to choose, and
            # with the same key.
            entry = (entry + 1) % self._entries
            request = dataclasses.replace(
                request, request_id=f"{request.request_id}+"
            )

    def _seen(
        self,
        request: request_types.Request,
        body: dict,
        outcome: types.Outcome,
        sink: Received | None,
    ) -> ledger_lib.CallerRecord:
        answer = b""
        whole = True
        expected = self._answer_of(request, body)
        if isinstance(outcome, types.Answered):
            answer = outcome.body if sink is None else sink.body
            whole = sink is None or sink.body == expected
        return ledger_lib.CallerRecord(
            request_id=request.request_id,
            outcome=TOLD[type(outcome)],
            key=request.key,
            idempotent=request.idempotent,
            complete=whole,
            # A key that ran before gets the answer to its first request.
            expected=None if request.key else expected,
            answer=answer,
        )


def _comes_again(
    request: request_types.Request, outcome: types.Outcome
) -> float | None:
    """Returns after which time a caller asks again; None when it does not."""
    if isinstance(outcome, types.NotRun):
        return outcome.retry_after_s
    if isinstance(outcome, types.Unknown) and request.key:
        # The key makes it safe to ask how it ended.
        return _ASK_AGAIN_S
    return None


TOLD = {
    types.Answered: ledger_lib.CallerOutcome.ANSWERED,
    types.NotRun: ledger_lib.CallerOutcome.NOT_RUN,
    types.Unknown: ledger_lib.CallerOutcome.UNKNOWN,
}


def mean_work(speed, crowding: float) -> float:
    """Returns the mean seconds of a request at a full server, cache warm.

    Computed from a fixed sample of the same distribution, so that `--load`
    means the same for each seed.
    """
    rng = random.Random(0)
    count = 20_000
    tokens = 0
    for _ in range(count):
        length = rng.lognormvariate(_TOKENS_MU, _TOKENS_SIGMA)
        tokens += int(min(_MAX_TOKENS, max(_MIN_TOKENS, length)))
    seconds = speed.base_s + speed.block_s + speed.token_s * tokens / count
    return seconds * (1.0 + crowding)


def percentile(values: list[float], share: float) -> float:
    """Returns the value that `share` of the values do not exceed, or 0."""
    if not values:
        return 0.0
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(len(ordered) * share))
    return ordered[index]


def reasons(samples: list[Sample]) -> dict[str, int]:
    """Returns how many requests were not run, by reason."""
    counted = collections.Counter(
        sample.outcome.reason.value
        for sample in samples
        if isinstance(sample.outcome, types.NotRun)
    )
    return dict(sorted(counted.items()))


def _prompt(template: int, number: int) -> str:
    beginning = f"template {template:07d};" * (
        TEMPLATE_BLOCKS * prefixes.BLOCK_CHARS // 17 + 1
    )
    beginning = beginning[: TEMPLATE_BLOCKS * prefixes.BLOCK_CHARS]
    return beginning + f"question {number:07d};" * 16
