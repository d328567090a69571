"""How far a rollout is, put together from the agents' status pages."""

import collections
import dataclasses

import pydantic

from clementinegw.weights import status as statuses


class _WeightsModel(pydantic.BaseModel):
    """`weights` on an agent's page, as `WeightsStatus.as_json` writes it."""

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
    """What is read of a daemon's `/status` page."""

    instance_id: str
    role: str
    service: str = ""
    weights: _WeightsModel = pydantic.Field(default_factory=_WeightsModel)


@dataclasses.dataclass(frozen=True, slots=True)
class LaggingAgent:
    """An agent that does not serve the newest target.

    Attributes:
      name: Its instance id, or its address when it did not answer.
      serving_version: What it serves; empty when nothing.
      state: What it waits for.
      why: The reason in words.
      held: Chunks it has.
      total: Chunks of its target.
    """

    name: str
    serving_version: str
    state: str
    why: str
    held: int = 0
    total: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Rollout:
    """A service's rollout.

    Attributes:
      service: The service.
      target: The newest declared version that an agent knows.
      target_digest: The digest of its manifest.
      revision: The settings revision that declared it.
      replicas: Agents asked, those that did not answer included.
      serving: Agents that serve the target.
      versions: Agents by the version that they serve; empty for none.
      behind: The others.
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
    "chunks_missing": "{held} of {total} chunks are here",
    "swap_limit": "{out} are out for loading, {queued_before} wait before it",
    "draining": "requests in flight finish",
    "loading": "the engine loads",
    "engine_unreachable": "the engine does not answer",
    "engine_crashed": "the engine ended and starts again",
    "answer_lost": "an order's answer was lost; the engine is asked",
    "not_sent": "the order could not be sent in time",
    "drain_timeout": "requests in flight did not finish in time",
    "permit_lost": "its permit to be out lapsed",
    "digest_mismatch": "the engine loaded something else than was ordered",
    "digest_changed": "the engine's weights changed without an order",
    "refused_fencing": "the engine has seen newer settings",
    "refused_chunk_missing": "the engine lacks chunks; they are fetched anew",
    "refused_bad_order": "the engine does not accept the order",
    "no_target": "it knows of no declared version",
}


def summarize(
    service: str, pages: list[StatusPage], unreachable: dict[str, str]
) -> Rollout:
    """Puts the pages of a service's agents together.

    Args:
      service: The service.
      pages: Pages that were read; those of other services are left out.
      unreachable: Why others could not be read, by address.
    """
    ours = [page for page in pages if page.service == service]
    newest = max((page.weights for page in ours), key=lambda w: w.revision)
    behind = [
        _lagging_agent(page, newest)
        for page in ours
        if not _is_serving(page, newest)
    ]
    behind += [
        LaggingAgent(name, "", "silent", why)
        for name, why in unreachable.items()
    ]
    versions = collections.Counter(p.weights.serving_version for p in ours)
    return Rollout(
        service=service,
        target=newest.target,
        target_digest=newest.target_digest,
        revision=newest.revision,
        replicas=len(ours) + len(unreachable),
        serving=sum(_is_serving(page, newest) for page in ours),
        versions=dict(sorted(versions.items())),
        behind=tuple(sorted(behind, key=lambda one: one.name)),
    )


def _is_serving(page: StatusPage, newest: _WeightsModel) -> bool:
    weights = page.weights
    return (
        weights.target_digest == newest.target_digest
        and weights.state == statuses.State.SERVING
    )


def _lagging_agent(page: StatusPage, newest: _WeightsModel) -> LaggingAgent:
    weights = page.weights
    template = _REASON_TEXTS.get(weights.reason, weights.reason)
    why = template.format(**weights.model_dump())
    if weights.target_digest != newest.target_digest:
        why = f"has settings revision {weights.revision} only"
    return LaggingAgent(
        page.instance_id,
        weights.serving_version,
        weights.state,
        why,
        weights.held,
        weights.total,
    )
