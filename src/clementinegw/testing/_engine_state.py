"""The settings and the state of an engine stand-in."""

import dataclasses

from clementinegw import clock as clocks
from clementinegw.testing import _engine_cache
from clementinegw.testing import _engine_faults
from clementinegw.testing import _engine_server
from clementinegw.testing import _engine_slots
from clementinegw.testing import _engine_weights
from clementinegw.testing import ledger as ledgers


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSettings:
    """The capacity and speed of one engine stand-in.

    Attributes:
      max_batch: The maximum number of requests in the batch.
      tokens_per_s: The rate at which each slot of the batch generates tokens,
        in tokens per second.
      prefill_tokens_per_s: The rate at which uncached prompt tokens are
        processed, in tokens per second.
      cache_tokens: The size of the prefix cache, in tokens.
      staging_bytes: The size of the staging memory, in bytes.
      load_bytes_per_s: The rate at which staged chunks are loaded, in bytes per
        second.
      load_lag_s: The age of the load that the engine reports, in seconds.
      checks_fencing: Whether an order with an older fencing number is refused.
    """

    max_batch: int = 8
    tokens_per_s: float = 100.0
    prefill_tokens_per_s: float = 10_000.0
    cache_tokens: int = 65_536
    staging_bytes: int = 1 << 30
    load_bytes_per_s: float = 1e9
    load_lag_s: float = 1.0
    checks_fencing: bool = True


class EngineState:
    """The state of one engine, which its HTTP handlers share."""

    def __init__(
        self,
        name: str,
        ledger: ledgers.Ledger,
        settings: EngineSettings,
        clock: clocks.Clock,
    ):
        """Creates the state of an idle engine without weights.

        Args:
          name: The engine's name in the ledger.
          ledger: The ledger that records the runs.
          settings: The engine's capacity and speed.
          clock: The clock for the ledger, cache events and load reports.
        """
        self.name = name
        self.ledger = ledger
        self.settings = settings
        self.clock = clock
        self.faults = _engine_faults.Faults()
        self.server = _engine_server.StandInServer(self.faults)
        self.staging = _engine_weights.StagingMemory(settings.staging_bytes)
        self.loader = _engine_weights.Loader(
            self.staging, self.faults, settings.load_bytes_per_s
        )
        self.delayed_load = _engine_slots.DelayedLoad(settings.load_lag_s)
        self.slots = _engine_slots.Slots(settings.max_batch, self._record_load)
        self.cache = _engine_cache.PrefixCache(
            settings.cache_tokens, self.faults
        )
        # The version and digest of each adapter, by the adapter's name.
        self.adapters: dict[str, tuple[str, str]] = {}
        self.fencing = 0

    def crash(self, restart_s: float | None) -> None:
        """Crashes immediately.

        Args:
          restart_s: The time until the restart, in seconds; None for never.
        """
        if not self.faults.keep_weights:
            self.loader.weights = _engine_weights.Weights()
            self.staging.clear()
            self.adapters.clear()
            self.fencing = 0
        self.server.crash(restart_s)

    def _record_load(self) -> None:
        self.delayed_load.record(
            self.clock.now(), self.slots.running, self.slots.waiting
        )
