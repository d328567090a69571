"""The plan of a rollout measurement and the versions that it uses."""

import dataclasses
import enum
import math
import random

from clementinegw.weights import manifest as manifests

_NEW_CHUNK_SHARE = 0.5


class Policy(enum.StrEnum):
    """How chunks are distributed to the replicas."""

    SWARM = "swarm"
    ORIGIN = "origin"
    TREE = "tree"
    CHAIN = "chain"
    STRIPES = "stripes"


class Fault(enum.StrEnum):
    """A fault that a run injects."""

    DIE = "die"
    STALL = "stall"
    CORRUPT = "corrupt"
    CHANGE = "change"
    PARTITION = "partition"


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of one rollout.

    Attributes:
      policy: How chunks are distributed to the replicas.
      replicas: Number of replicas.
      domains: Number of failure domains that hold the replicas.
      chunks: Number of chunks of a version.
      chunk_bytes: Size of a chunk in bytes.
      parts: Number of parts that a chunk is sent in.
      window_s: Seconds in which the origin's link carries `origin_copies`
        copies of a version and each machine's link `link_copies` copies in
        each direction.
      origin_copies: See `window_s`.
      link_copies: See `window_s`.
      shared: Whether both directions of a machine share its link.
      headroom: The share of the link that paced transfers leave unused.
      live_share: The share of each machine's link that live requests use.
      live_per_s: Live requests per second to each replica.
      warm_up_s: Seconds of live requests before the rollout.
      faults: Faults that the run injects.
      seed: Seed of every random choice.
      timeout_s: Seconds after which the run is abandoned.
      swarm_overrides: Fields of `swarm.Limits` that replace the defaults.
    """

    policy: Policy
    replicas: int
    domains: int
    chunks: int
    chunk_bytes: int
    parts: int
    window_s: float
    origin_copies: float
    link_copies: float
    shared: bool
    headroom: float
    live_share: float
    live_per_s: float
    warm_up_s: float
    faults: frozenset[Fault]
    seed: int
    timeout_s: float
    swarm_overrides: dict

    @property
    def total_bytes(self) -> int:
        """The size of one version in bytes."""
        return self.chunks * self.chunk_bytes

    @property
    def link_rate(self) -> float:
        """Bytes per second of a machine's link in each direction."""
        return self.link_copies * self.total_bytes / self.window_s

    @property
    def origin_rate(self) -> float:
        """Bytes per second of the origin's link."""
        return self.origin_copies * self.total_bytes / self.window_s

    @property
    def chunk_s(self) -> float:
        """Seconds to send one chunk over an idle machine's link."""
        return self.chunk_bytes / self.link_rate

    @property
    def bound_s(self) -> float:
        """The minimum seconds until every replica can hold every byte.

        The fluid bound is the maximum of three times: the origin sends
        everything once; each machine receives everything; and all sending
        links together carry one copy for each replica. With shared directions
        a machine's link carries both what it receives and what it sends. Live
        requests are ignored, which lowers the bound.
        """
        size, count = self.total_bytes, self.replicas
        origin_s = size / self.origin_rate
        per_machine_s = size / self.link_rate
        transferred_bytes = 2 * count * size if self.shared else count * size
        aggregate_s = transferred_bytes / (
            self.origin_rate + count * self.link_rate
        )
        return max(origin_s, per_machine_s, aggregate_s)


@dataclasses.dataclass(frozen=True, slots=True)
class Version:
    """A version's manifest and its chunks by digest."""

    manifest: manifests.Manifest
    data: dict[bytes, bytes]


def make_versions(plan: Plan) -> tuple[Version, Version]:
    """Returns two versions that share half of their chunks."""
    rng = random.Random(plan.seed)
    first = [rng.randbytes(plan.chunk_bytes) for _ in range(plan.chunks)]
    second = list(first)
    new_count = math.ceil(plan.chunks * _NEW_CHUNK_SHARE)
    for index in rng.sample(range(plan.chunks), new_count):
        second[index] = rng.randbytes(plan.chunk_bytes)
    return _version(plan, "v1", first), _version(plan, "v2", second)


def _version(plan: Plan, name: str, chunks: list[bytes]) -> Version:
    digests = [manifests.digest_of(chunk) for chunk in chunks]
    file = manifests.File("weights", plan.total_bytes)
    manifest = manifests.build(
        "model", name, plan.chunk_bytes, (file,), digests
    )
    return Version(manifest, dict(zip(digests, chunks, strict=True)))
