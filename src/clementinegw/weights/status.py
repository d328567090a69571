"""The state of an agent's weights as shown on its `/status` page."""

import dataclasses
import enum


class State(enum.StrEnum):
    """What a rollout is waiting for at one instance."""

    IDLE = "idle"  # no version is declared
    FETCHING = "fetching"  # chunks are missing
    WAITING = "waiting"  # the limit of workers out of service is reached
    DRAINING = "draining"  # requests in flight are finishing
    LOADING = "loading"  # the engine is loading
    RETRYING = "retrying"  # a step failed; see the reason
    SERVING = "serving"  # the declared version is served


@dataclasses.dataclass(frozen=True, slots=True)
class WeightsStatus:
    """One agent's progress in a rollout.

    Attributes:
      target: The declared version; empty if none is declared.
      target_digest: The digest of the target's manifest.
      held: The number of chunks of the target that are staged.
      total: The number of chunks of the target; 0 until its manifest is known.
      serving_version: The version that requests run on; empty if none.
      serving_digest: The content digest that the engine reported.
      state: What the agent is waiting for.
      reason: Why the target is not served; empty if it is.
      revision: The settings revision that declared the target.
      out: The number of the service's workers that are out of service to load,
        as far as this agent knows.
      queued_before: The number of workers that wait before this one.
      cached_bytes: The size of the chunks in the agent's own memory, in bytes.
      staged_bytes: The size of the chunks in the staging memory of the engine's
        host, in bytes.
      adapters: The names and versions of the adapters that are served.
    """

    target: str = ""
    target_digest: str = ""
    held: int = 0
    total: int = 0
    serving_version: str = ""
    serving_digest: str = ""
    state: State = State.IDLE
    reason: str = ""
    revision: int = 0
    out: int = 0
    queued_before: int = 0
    cached_bytes: int = 0
    staged_bytes: int = 0
    adapters: tuple[tuple[str, str], ...] = ()

    def as_json(self) -> dict[str, object]:
        """Returns the `weights` object of the `/status` page."""
        return dataclasses.asdict(self)
