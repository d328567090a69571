"""A stand-in for a backend server, and the generator of its live requests.

Each answer carries the digest of the loaded chunks, computed from their bytes
at load time, so that the client detects partial or mixed weights.
"""

import asyncio
import random

from clementinegw import types
from clementinegw.weights import manifest as manifests
from clementinegw.weights import pacing as pacing_lib

_DIGEST_BYTES = 32
_NUMBER_BYTES = 8
MIN_BODY_BYTES = _DIGEST_BYTES + _NUMBER_BYTES
_SERVICE_TIME_RANGE_S = (0.04, 0.08)


def content_digest(digests: list[bytes]) -> bytes:
    """Returns the digest that answers from exactly these chunks carry."""
    return manifests.digest_of(b"".join(digests))


class Replica:
    """A server that loads weights chunk by chunk and answers from them."""

    def __init__(
        self,
        link: pacing_lib.Link,
        pacing: pacing_lib.Pacing | None,
        body_bytes: int,
        rng: random.Random,
    ):
        """Starts without weights.

        Args:
          link: The machine's link for live requests.
          pacing: Records the bytes of live requests; None for none.
          body_bytes: The size of a request and of an answer in bytes.
          rng: Source of random service times.
        """
        self._link = link
        self._pacing = pacing
        self._body_bytes = body_bytes
        self._rng = rng
        self._digests: list[bytes] = []
        self._server: asyncio.Server | None = None
        self._content = content_digest([])
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self.out_of_service = False

    async def start(self) -> types.Address:
        """Listens on a port that the kernel chooses."""
        self._server = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", 0
        )
        port = self._server.sockets[0].getsockname()[1]
        return types.Address("127.0.0.1", port)

    async def stop(self) -> None:
        """Closes the listening socket and the connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()

    async def load(self, chunks: list[bytes]) -> bytes:
        """Replaces the weights in place and returns their content digest."""
        self._digests = self._digests[: len(chunks)]
        for index, chunk in enumerate(chunks):
            digest = manifests.digest_of(chunk)
            if index < len(self._digests):
                self._digests[index] = digest
            else:
                self._digests.append(digest)
            self._content = content_digest(self._digests)
            await asyncio.sleep(0)
        return self._content

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                body = await reader.readexactly(self._body_bytes)
                task = asyncio.ensure_future(self._answer(body, writer))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, body: bytes, writer: asyncio.StreamWriter) -> None:
        if self._pacing is not None:
            self._pacing.record_live(self._body_bytes, self._body_bytes)
        await self._link.receive(self._body_bytes)
        await asyncio.sleep(self._rng.uniform(*_SERVICE_TIME_RANGE_S))
        # Read after the service time: a request that ran during a load must
        # show the mixed weights.
        content = bytes(_DIGEST_BYTES) if self.out_of_service else self._content
        await self._link.send(self._body_bytes)
        answer = content + body[:_NUMBER_BYTES]
        writer.write(answer.ljust(self._body_bytes, b"\0"))


class LoadGenerator:
    """Sends live requests to one replica and records the answers.

    Attributes:
      latencies: Start (loop time) and latency of each answer, in seconds.
      counts_by_content: Number of answers by content digest.
      refused: Number of answers while the replica was out of service.
    """

    def __init__(
        self,
        address: types.Address,
        body_bytes: int,
        requests_per_s: float,
        rng: random.Random,
    ):
        """Starts without a connection.

        Args:
          address: The replica's address.
          body_bytes: The size of a request and of an answer in bytes.
          requests_per_s: Mean request rate; the intervals are exponential.
          rng: Source of random intervals.
        """
        self._address = address
        self._body_bytes = body_bytes
        self._requests_per_s = requests_per_s
        self._rng = rng
        self._sent_at: dict[bytes, float] = {}
        self.latencies: list[tuple[float, float]] = []
        self.counts_by_content: dict[bytes, int] = {}
        self.refused = 0

    async def run(self) -> None:
        """Sends requests until cancelled or disconnected by the replica."""
        loop = asyncio.get_running_loop()
        address = (self._address.host, self._address.port)
        reader, writer = await asyncio.open_connection(*address)
        receiving = asyncio.ensure_future(self._receive(reader))
        number = 0
        try:
            while not receiving.done():
                await asyncio.sleep(self._rng.expovariate(self._requests_per_s))
                number += 1
                head = number.to_bytes(_NUMBER_BYTES, "big")
                self._sent_at[head] = loop.time()
                writer.write(head.ljust(self._body_bytes, b"\0"))
        finally:
            receiving.cancel()
            writer.close()

    async def _receive(self, reader: asyncio.StreamReader) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                answer = await reader.readexactly(self._body_bytes)
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            started_at = self._sent_at.pop(answer[_DIGEST_BYTES:MIN_BODY_BYTES])
            content = answer[:_DIGEST_BYTES]
            if content == bytes(_DIGEST_BYTES):
                self.refused += 1
                continue
            self.latencies.append((started_at, loop.time() - started_at))
            self.counts_by_content[content] = (
                self.counts_by_content.get(content, 0) + 1
            )
