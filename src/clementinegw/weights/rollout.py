"""Summarizes the progress of a rollout from the agents' status pages."""

import collections
import dataclasses

import pydantic

from clementinegw.weights import status as statuses


class _WeightsModel(pydantic.BaseModel):
    """The `weights` object of a page, as written by `WeightsStatus.as_json`."""

    target: str = ""
    target_digest: str = ""
    held: int = 0
    total: int = 0
    serving_version: str = ""
    state: str = statuses.State.IDLE
    reason: str = ""
    revision: int = 0
    out: int = 0
    queued_before: int = 0


class StatusPage(pydantic.BaseModel):
    """The parts of a daemon's `/status` page that are read."""

    instance_id: str
    role: str
    service: str = ""
    weights: _WeightsModel = pydantic.Field(default_factory=_WeightsModel)


@dataclasses.dataclass(frozen=True, slots=True)
class LaggingAgent:
    """An agent that does not serve the latest target.

    Attributes:
      name: The instance id, or the address if the agent did not answer.
      serving_version: The version it serves; empty if none.
      state: What the agent is waiting for.
      why: The reason as text.
      held: The number of chunks of its target that it has.
      total: The number of chunks of its target.
    """

    name: str
    serving_version: str
    state: str
    why: str
    held: int = 0
    total: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Rollout:
    """The progress of a service's rollout.

    Attributes:
      service: The service.
      target: The latest declared version that any agent knows.
      target_digest: The digest of the target's manifest.
      revision: The settings revision that declared the target.
      replicas: The number of agents, including those that did not answer.
      serving: The number of agents that serve the target.
      versions: The number of agents by the version that they serve; the empty
        version stands for none.
      behind: The agents that do not serve the target.
    """

    service: str
    target: str
    target_digest: str
    revision: int
    replicas: int
    serving: int
    versions: dict[str, int]
    behind: tuple[LaggingAgent, ...]

    @property
    def complete(self) -> bool:
        """Whether every agent serves the target."""
        return self.replicas > 0 and self.serving == self.replicas


_REASON_TEXTS = {
    "chunks_missing": "{held} of {total} chunks are staged",
    "swap_limit": (
        "{out} out of service to load, {queued_before} queued before it"
    ),
    "draining": "waiting for requests in flight",
    "loading": "the engine is loading",
    "engine_unreachable": "the engine does not answer",
    "engine_crashed": "the engine crashed and is restarting",
    "answer_lost": "the answer to an order was lost; querying the engine",
    "not_sent": "the order could not be sent in time",
    "drain_timeout": "requests in flight did not finish in time",
    "permit_lost": "its permit to be out of service expired",
    "digest_mismatch": "the engine did not load what was ordered",
    "digest_changed": "the engine's weights changed without an order",
    "refused_fencing": "the engine has seen newer settings",
    "refused_chunk_missing": "the engine lacks chunks; fetching them again",
    "refused_bad_order": "the engine rejected the order as invalid",
    "no_target": "no declared version is known",
}


def summarize(
    service: str, pages: list[StatusPage], unreachable: dict[str, str]
) -> Rollout:
    """Returns the progress of a service's rollout.

    Args:
      service: The service.
      pages: The pages that were read. Pages of other services are ignored.
      unreachable: Why other pages could not be read, by address.
    """
    ours = [page for page in pages if page.service == service]
    latest = max((page.weights for page in ours), key=lambda w: w.revision)
    behind = [
        _lagging_agent(page, latest)
        for page in ours
        if not _is_serving(page, latest)
    ]
    behind += [
        LaggingAgent(name, "", "silent", why)
        for name, why in unreachable.items()
    ]
    versions = collections.Counter(p.weights.serving_version for p in ours)
    return Rollout(
        service=service,
        target=latest.target,
        target_digest=latest.target_digest,
        revision=latest.revision,
        replicas=len(ours) + len(unreachable),
        serving=sum(_is_serving(page, latest) for page in ours),
        versions=dict(sorted(versions.items())),
        behind=tuple(sorted(behind, key=lambda agent: agent.name)),
    )


def _is_serving(page: StatusPage, latest: _WeightsModel) -> bool:
    weights = page.weights
    return (
        weights.target_digest == latest.target_digest
        and weights.state == statuses.State.SERVING
    )


def _lagging_agent(page: StatusPage, latest: _WeightsModel) -> LaggingAgent:
    weights = page.weights
    template = _REASON_TEXTS.get(weights.reason, weights.reason)
    why = template.format(**weights.model_dump())
    if weights.target_digest != latest.target_digest:
        why = f"has only settings revision {weights.revision}"
    return LaggingAgent(
        page.instance_id,
        weights.serving_version,
        weights.state,
        why,
        weights.held,
        weights.total,
    )
