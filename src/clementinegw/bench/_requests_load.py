"""Load generation for the requests bench and samples of the outcomes."""

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

# Relative request rates of ten customers, three of them large.
CUSTOMER_WEIGHTS = (5.0, 3.0, 2.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0)
_PRIORITIES = (types.Priority.HIGH, types.Priority.NORMAL, types.Priority.LOW)
_PRIORITY_WEIGHTS = (0.1, 0.7, 0.2)
_UNKNOWN_RETRY_DELAY_S = 0.5
_TOKENS_MU = 3.9
_TOKENS_SIGMA = 0.6
_MIN_TOKENS = 4
_MAX_TOKENS = 256
TEMPLATE_BLOCKS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """The offered load.

    Attributes:
      rate: Requests per second over all entries.
      seconds: Duration in seconds.
      warm_up_s: Seconds at the start that are not measured.
      templates: Number of different prompt prefixes.
      heavy_factor: Factor on the request rate of `heavy_customer`.
      heavy_customer: Index of the customer with the increased rate.
      deadline_s: Deadline of each call, in seconds.
      keyed_share: Fraction of requests that are not idempotent and have an
        idempotency key.
      streamed_share: Fraction of the other requests whose answers are
        streamed.
      poison_share: Fraction of requests that crash every server that runs
        them.
      max_retries: Maximum number of retries after a retryable outcome.
    """

    rate: float
    seconds: float
    warm_up_s: float = 10.0
    templates: int = 40
    heavy_factor: float = 1.0
    heavy_customer: int = 0
    deadline_s: float = 10.0
    keyed_share: float = 0.0
    streamed_share: float = 0.0
    poison_share: float = 0.0
    max_retries: int = 0


@dataclasses.dataclass(slots=True)
class Sample:
    """One call of a request with its outcome and durations.

    Attributes:
      customer: Index of the customer.
      priority: The priority of the request.
      at: Time of the first call of the request, in seconds of the loop's clock.
      seconds: Seconds from the first call to the outcome.
      call_s: Seconds from this call to its outcome.
      outcome: The outcome.
      seen: The observation that the ledger checks.
    """

    customer: int
    priority: types.Priority
    at: float
    seconds: float
    call_s: float
    outcome: types.Outcome
    seen: ledger_lib.CallerRecord


Send = Callable[
    [int, request_types.Request, request_types.Sink | None],
    Awaitable[types.Outcome],
]
ExpectedAnswer = Callable[[request_types.Request, dict], bytes]


class AnswerSink:
    """Collects the body of a streamed answer."""

    def __init__(self) -> None:
        self.body = b""

    async def head(self, head: request_types.Head) -> None:
        """Ignores the head."""

    async def data(self, data: bytes) -> None:
        """Appends events to the body."""
        self.body += data


class LoadGenerator:
    """Open-loop load generator: no request waits for another one."""

    def __init__(
        self,
        traffic: Traffic,
        service: str,
        entries: int,
        rng: random.Random,
        send: Send,
        expected_answer: ExpectedAnswer,
    ):
        """Creates the generator; `run` sends the requests.

        Args:
          traffic: The offered load.
          service: The requested service.
          entries: Number of entries that requests are distributed over.
          rng: Source of all random choices.
          send: Sends a request to the entry with an index.
          expected_answer: Returns the expected answer to a request.
        """
        self._traffic = traffic
        self._service = service
        self._entries = entries
        self._rng = rng
        self._send = send
        self._expected_answer = expected_answer
        self._weights = list(CUSTOMER_WEIGHTS)
        self._weights[traffic.heavy_customer] *= traffic.heavy_factor
        self._count = 0
        self.samples: list[Sample] = []

    @property
    def rate(self) -> float:
        """Requests per second, including the factor of the heavy customer."""
        return self._traffic.rate * sum(self._weights) / sum(CUSTOMER_WEIGHTS)

    async def run(self) -> None:
        """Sends requests for the configured time and waits for all outcomes."""
        loop = asyncio.get_running_loop()
        end_time = loop.time() + self._traffic.seconds
        due = loop.time()
        tasks = set()
        while True:
            due += self._rng.expovariate(self.rate)
            if due >= end_time:
                break
            await asyncio.sleep(max(0.0, due - loop.time()))
            task = asyncio.ensure_future(self._call(self._next_request()))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)

    def _next_request(self) -> tuple[int, int, request_types.Request, dict]:
        """Returns the customer, the entry, the request and its body.

        All random values are drawn in order of arrival and from one generator,
        so that every policy receives the same requests.
        """
        rng = self._rng
        self._count += 1
        number = self._count
        customer = rng.choices(range(len(CUSTOMER_WEIGHTS)), self._weights)[0]
        priority = rng.choices(_PRIORITIES, _PRIORITY_WEIGHTS)[0]
        length = rng.lognormvariate(_TOKENS_MU, _TOKENS_SIGMA)
        tokens = int(min(_MAX_TOKENS, max(_MIN_TOKENS, length)))
        template = rng.randrange(self._traffic.templates)
        keyed = rng.random() < self._traffic.keyed_share
        stream = not keyed and rng.random() < self._traffic.streamed_share
        poison = rng.random() < self._traffic.poison_share
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
        started_at = loop.time()
        retries_left = self._traffic.max_retries
        while True:
            called_at = loop.time()
            request.deadline = called_at + self._traffic.deadline_s
            sink = AnswerSink() if request.stream else None
            outcome = await self._send(entry, request, sink)
            self.samples.append(
                Sample(
                    customer,
                    request.priority,
                    started_at,
                    loop.time() - started_at,
                    loop.time() - called_at,
                    outcome,
                    self._observed_by_caller(request, body, outcome, sink),
                )
            )
            delay_s = _retry_delay_s(request, outcome)
            if delay_s is None or not retries_left:
                return
            retries_left -= 1
            await asyncio.sleep(delay_s)
            # Retries with the same key through another entry, as a load
            # balancer might choose it.
            entry = (entry + 1) % self._entries
            request = dataclasses.replace(
                request, request_id=f"{request.request_id}+"
            )

    def _observed_by_caller(
        self,
        request: request_types.Request,
        body: dict,
        outcome: types.Outcome,
        sink: AnswerSink | None,
    ) -> ledger_lib.CallerRecord:
        answer = b""
        whole = True
        expected = self._expected_answer(request, body)
        if isinstance(outcome, types.Answered):
            answer = outcome.body if sink is None else sink.body
            whole = sink is None or sink.body == expected
        return ledger_lib.CallerRecord(
            request_id=request.request_id,
            outcome=LEDGER_OUTCOMES[type(outcome)],
            key=request.key,
            idempotent=request.idempotent,
            complete=whole,
            # A retried key receives the answer to its first request.
            expected=None if request.key else expected,
            answer=answer,
        )


def _retry_delay_s(
    request: request_types.Request, outcome: types.Outcome
) -> float | None:
    """Returns the seconds until a caller retries, or None if it does not."""
    if isinstance(outcome, types.NotRun):
        return outcome.retry_after_s
    if isinstance(outcome, types.Unknown) and request.key:
        # The key makes the retry safe.
        return _UNKNOWN_RETRY_DELAY_S
    return None


LEDGER_OUTCOMES = {
    types.Answered: ledger_lib.CallerOutcome.ANSWERED,
    types.NotRun: ledger_lib.CallerOutcome.NOT_RUN,
    types.Unknown: ledger_lib.CallerOutcome.UNKNOWN,
}


def mean_service_time_s(speed, batch_slowdown: float) -> float:
    """Returns the mean seconds of a request at a full server with a warm cache.

    The mean is computed from a fixed sample of the length distribution, so that
    `--load` has the same meaning for each seed.
    """
    rng = random.Random(0)
    count = 20_000
    tokens = 0
    for _ in range(count):
        length = rng.lognormvariate(_TOKENS_MU, _TOKENS_SIGMA)
        tokens += int(min(_MAX_TOKENS, max(_MIN_TOKENS, length)))
    seconds = speed.base_s + speed.block_s + speed.token_s * tokens / count
    return seconds * (1.0 + batch_slowdown)


def percentile(values: list[float], share: float) -> float:
    """Returns the quantile for a fraction, or 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(len(ordered) * share))
    return ordered[index]


def count_reasons(samples: list[Sample]) -> dict[str, int]:
    """Returns the number of requests that were not run, by reason."""
    counted = collections.Counter(
        sample.outcome.reason.value
        for sample in samples
        if isinstance(sample.outcome, types.NotRun)
    )
    return dict(sorted(counted.items()))


def _prompt(template: int, number: int) -> str:
    prefix = f"template {template:07d};" * (
        TEMPLATE_BLOCKS * prefixes.BLOCK_CHARS // 17 + 1
    )
    prefix = prefix[: TEMPLATE_BLOCKS * prefixes.BLOCK_CHARS]
    return prefix + f"question {number:07d};" * 16
