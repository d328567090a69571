"""State and dependencies that the parts of the gate's service share."""

from collections.abc import Callable
import dataclasses

from clementinegw import clock as clock_lib
from clementinegw.gate import backends
from clementinegw.gate import gate as gate_lib
from clementinegw.gate import types
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Intervals and timeouts of the gate's service, in seconds.

    Attributes:
      status_interval_s: Between two status notices. A change of readiness,
        leaving, version, digest or capacity is sent at once.
      max_notify_delay_s: Within which a change of the load is sent, also
        while a probe waits. No less than twice `probe_interval_s`, so that no
        more load notices are sent than probes.
      prefix_list_interval_s: Between two notices that list all cached
        prefixes.
      probe_interval_s: Between two probes of the backend server. Changes are
        sent to the entries after each probe.
      probe_timeout_s: For the answer to a probe.
      stall_timeout_s: Silence after which the backend server counts as
        stalled.
      deadline_grace_s: How long a non-idempotent attempt may run past its
        deadline, so that the backend server is not interrupted halfway.
      crash_window_s: Time within which a crash breaks all connections.
    """

    status_interval_s: float = 2.5
    max_notify_delay_s: float = 1.0
    prefix_list_interval_s: float = 20.0
    probe_interval_s: float = 0.5
    probe_timeout_s: float = 1.0
    stall_timeout_s: float = 5.0
    deadline_grace_s: float = 60.0
    crash_window_s: float = 0.05


@dataclasses.dataclass(slots=True)
class BackendState:
    """What the backend server serves, and its latest reported load.

    Attributes:
      version: The model version; empty for a plain service or before a load.
      digest: The digest of the weights whose load was verified.
      serving_since: When it began to serve the version, monotonic seconds.
      heard_at: When it last responded, monotonic seconds.
      load: The load that it reports; 0.0 for a plain service.
      prefixes: Hashes of its cached prompt prefixes, newest last.
    """

    version: str = ""
    digest: str = ""
    serving_since: float = 0.0
    heard_at: float = 0.0
    load: float = 0.0
    prefixes: list[int] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """The objects that all parts of the service use.

    Attributes:
      gate: Decides which attempts are handed over.
      backend: The backend server.
      backend_state: What the backend server serves.
      timing: The intervals and timeouts.
      clock: The source of time.
      log: Receives the events.
      counters: Receives the counts.
      apply: Carries out the gate's actions.
    """

    gate: gate_lib.Gate
    backend: backends.Backend
    backend_state: BackendState
    timing: Timing
    clock: clock_lib.Clock
    log: logs.Log
    counters: counters_lib.Counters
    apply: Callable[[list[types.Action]], None]
