"""What the receiving and the sending half of a transfer share."""

from collections.abc import Callable
import dataclasses

from clementinegw import clock as clocks
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs
from clementinegw.weights import manifest as manifests
from clementinegw.weights import pacing as pacing_lib
from clementinegw.weights import store as stores
from clementinegw.weights import swarm


@dataclasses.dataclass(slots=True)
class Context:
    """One agent's surroundings.

    Attributes:
      domain: The agent's failure domain.
      store: Where chunks are kept.
      pacing: The machine's link.
      link: Books the bytes of parts on a shaped link; for benches.
      emit: Hands an event to the swarm.
      clock: The source of time.
      log: Where events go.
      counters: Where refusals, retries and bytes are counted.
      part_bytes: What is asked for at once.
      manifest: The target.
    """

    domain: str
    store: stores.ChunkStore
    pacing: pacing_lib.Pacing
    link: pacing_lib.Link | None
    emit: Callable[[swarm.Event], None]
    clock: clocks.Clock
    log: logs.Log
    counters: counters_lib.Counters
    part_bytes: int
    manifest: manifests.Manifest | None = None
