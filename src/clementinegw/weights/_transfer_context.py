"""Dependencies shared by the receiver and the sender of a transfer."""

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
    """The dependencies of one agent's receiver and sender.

    Attributes:
      domain: The agent's failure domain.
      store: Where chunks are kept.
      pacing: Paces both directions of the machine's link.
      link: Accounts for the bytes of parts on a shaped link; for benches.
      emit: Passes an event to the swarm.
      clock: The source of time.
      log: Where events are logged.
      counters: Where refusals, retries and bytes are counted.
      part_bytes: The size of a requested part in bytes.
      manifest: The target's manifest; None without a target.
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
