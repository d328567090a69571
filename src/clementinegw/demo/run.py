"""Runs the demo: publish, serve, declare in mid-load, wait, check."""

import asyncio
from collections.abc import Callable
import dataclasses
import pathlib
import random
import tempfile
import time
from typing import Any

from clementinegw import exceptions
from clementinegw.backend import types as backend_types
from clementinegw.demo import callers as callers_lib
from clementinegw.demo import checks as checks_lib
from clementinegw.platform import store as store_lib
from clementinegw.settings import changes as changes_lib
from clementinegw.testing import deployment as deployment_lib
from clementinegw.testing import platform as platform_lib
from clementinegw.testing import sizes
from clementinegw.weights import manifest as manifest_lib
from clementinegw.weights import publish as publish_lib

BEFORE = "v1"
AFTER = "v2"
MODEL = "demo-model"
_MADE_BYTES = 24 << 20
_SHARED_BYTES = 6 << 20
_MIN_CHUNKS = 24
_MAX_CHUNK_BYTES = 4 << 20
_SETTLE_S = 60.0
_ROLLOUT_S = 90.0
_POLL_S = 0.05
# The origin's link carries four copies in the time of a burst.
_BURST_S = 20.0
_ORIGIN_COPIES = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What the demo does.

    Attributes:
      size: The deployment.
      weights: The file or directory to roll out; None for made-up weights.
      callers: How many callers send requests at once.
      seed: Seeds the weights and the mix of requests.
      before_s: Load before the declaration, in seconds.
      after_s: Load after the rollout, in seconds.
    """

    size: sizes.Size
    weights: pathlib.Path | None = None
    callers: int = 24
    seed: int = 1
    before_s: float = 2.0
    after_s: float = 2.0


Say = Callable[[str], None]


class Demo:
    """One run of the demo."""

    def __init__(self, plan: Plan, say: Say):
        """Prepares the run.

        Args:
          plan: What to do.
          say: Takes each line of the account.
        """
        self._plan = plan
        self._say = say
        self._manifests: dict[str, manifest_lib.Manifest] = {}
        self.deployment: deployment_lib.Deployment

    async def run(self) -> dict[str, Any]:
        """Runs all of it but leaves the deployment up; see `stop`.

        Returns:
          The keys of `demo --json`.

        Raises:
          exceptions.CheckFailed: A version was not served in time.
        """
        plan = self._plan
        self.deployment = deployment_lib.Deployment(
            plan.size, _options(self._version_bytes())
        )
        deployment = self.deployment
        await deployment.start()
        self._say(_describe(plan.size))
        await self._publish_both()
        models = {name: self._model(BEFORE) for name in self._fleets()}
        await deployment.change_settings(
            "the fleet's first version", *deployment.tree_operations(models)
        )
        took = await self._serving(BEFORE, _SETTLE_S)
        self._say(f"{len(deployment.engines)} engines serve v1 ({took:.1f} s)")
        callers = self._make_callers()
        load = asyncio.ensure_future(callers.run(plan.callers))
        try:
            rollout = await self._roll_out()
        finally:
            callers.stop()
            await load
        checks = checks_lib.judge(deployment.ledger, callers.replies, rollout)
        self._tell(checks, callers, rollout)
        return checks_lib.result(checks, callers.replies, rollout)

    async def stop(self) -> None:
        """Ends the deployment."""
        await self.deployment.stop()

    async def _roll_out(self) -> checks_lib.Rollout:
        deployment = self.deployment
        await asyncio.sleep(self._plan.before_s)
        drawn = deployment.platform.origin.bytes_served
        began = time.monotonic()
        revision = await deployment.change_settings(
            "roll out the new version",
            *(
                changes_lib.Set(f"services.{name}.model", self._model(AFTER))
                for name in self._fleets()
            ),
        )
        self._say(f"declared v2 at revision {revision}, under live load")
        await self._serving(AFTER, _ROLLOUT_S)
        seconds = time.monotonic() - began
        self._say(f"all engines serve v2 after {seconds:.1f} s")
        await asyncio.sleep(self._plan.after_s)
        drawn = deployment.platform.origin.bytes_served - drawn
        daemons = [w.agent.core for w in deployment.workers]
        daemons += [entry.core for entry in deployment.entries]
        return checks_lib.Rollout(
            replicas=len(deployment.engines),
            before=BEFORE,
            after=AFTER,
            serving_after=self._count_serving(AFTER),
            seconds=seconds,
            origin_copies=drawn / self._manifests[AFTER].total_bytes,
            declared_revision=revision,
            revisions=tuple(core.follower.revision for core in daemons),
        )

    def _fleets(self) -> list[str]:
        return [
            service.name
            for service in self._plan.size.services
            if service.kind.value == "model_engine"
        ]

    def _model(self, version: str) -> dict[str, str]:
        return {
            "name": MODEL,
            "version": version,
            "manifest": self._manifests[version].digest,
        }

    def _make_callers(self) -> callers_lib.Callers:
        digests = {
            version: backend_types.content_digest(
                [chunk.digest.hex() for chunk in manifest.chunks]
            )
            for version, manifest in self._manifests.items()
        }
        return callers_lib.Callers(
            self._plan.size,
            [entry.http_address for entry in self.deployment.entries],
            self.deployment.session,
            digests,
            self._plan.seed,
        )

    def _version_bytes(self) -> int:
        if self._plan.weights is None:
            return _MADE_BYTES
        found = publish_lib.find_files(self._plan.weights)
        return sum(file.size for file, _ in found)

    async def _publish_both(self) -> None:
        """Publishes both versions; v1 is made up, v2 is the user's if given."""
        rng = random.Random(self._plan.seed)
        shared = rng.randbytes(_SHARED_BYTES)
        with tempfile.TemporaryDirectory() as folder:
            root = pathlib.Path(folder)
            for version in (BEFORE, AFTER):
                path = root / version
                path.write_bytes(
                    shared + rng.randbytes(_MADE_BYTES - _SHARED_BYTES)
                )
            after = self._plan.weights or root / AFTER
            await self._publish(root / BEFORE, BEFORE)
            await self._publish(after, AFTER)

    async def _publish(self, path: pathlib.Path, version: str) -> None:
        store = store_lib.HttpStore(
            self.deployment.platform.origin_address, self.deployment.session
        )
        manifest = await publish_lib.publish(
            path, MODEL, version, store, _chunk_bytes(self._version_bytes())
        )
        self._manifests[version] = manifest
        self._say(
            f"published {version}: {manifest.total_bytes / 1e6:.1f} MB, "
            f"{len(manifest.chunks)} chunks, manifest {manifest.digest[:12]}"
        )

    def _count_serving(self, version: str) -> int:
        return sum(
            worker.agent.serving_version == version
            and worker.server.weights.version == version
            for worker in self.deployment.workers
            if worker.server in self.deployment.engines
        )

    async def _serving(self, version: str, timeout_s: float) -> float:
        began = time.monotonic()
        wanted = len(self.deployment.engines)
        while self._count_serving(version) < wanted:
            if time.monotonic() - began > timeout_s:
                raise exceptions.CheckFailed(
                    f"only {self._count_serving(version)} of {wanted} engines "
                    f"serve {version} after {timeout_s:.0f} s: "
                    f"{self._why_behind(version)}"
                )
            await asyncio.sleep(_POLL_S)
        return time.monotonic() - began

    def _why_behind(self, version: str) -> str:
        reasons = [
            f"{worker.server.name}: {worker.agent.weights_status()}"
            for worker in self.deployment.workers
            if worker.server in self.deployment.engines
            and worker.agent.serving_version != version
        ]
        return "; ".join(reasons)

    def _tell(self, checks, callers, rollout) -> None:
        self._say(
            f"{len(callers.replies)} requests; the origin sent "
            f"{rollout.origin_copies:.2f} copies of v2 "
            f"to {rollout.replicas} replicas"
        )
        for check in checks:
            mark = "held  " if check.held else "FAILED"
            self._say(f"  {mark} {check.name} ({check.detail})")


async def stay(demo: Demo, say: Say) -> None:
    """Prints addresses and commands to try, then waits until interrupted."""
    entry = demo.deployment.entries[0]
    status = demo.deployment.workers[0].agent.status_address
    plain = [s for s in demo.deployment.size.services if s.kind == "plain"]
    engine = demo.deployment.size.services[0].name
    say("\nstill running; Ctrl-C ends it. Try:")
    say(
        f"  curl -i http://{entry.http_address}/v1/completions -d "
        f'\'{{"model":"{engine}","prompt":"a gear pair",'
        f'"max_tokens":8}}\''
    )
    say(
        f"  curl -i http://{entry.http_address}/services/{plain[0].name}/items/p1"
    )
    say(
        f"  curl -i -X POST -H 'Idempotency-Key: k1' -d '{{}}' "
        f"http://{entry.http_address}/services/{plain[0].name}/bookings"
    )
    say(f"  curl http://{status}/status")
    say(
        "  clementinegw settings get services "
        f"--log={demo.deployment.platform.log_address}"
    )
    await asyncio.Event().wait()


def _options(version_bytes: int) -> deployment_lib.Options:
    rate = _ORIGIN_COPIES * version_bytes / _BURST_S
    return deployment_lib.Options(
        limits=platform_lib.Limits(origin_bytes_per_s=rate),
    )


def _chunk_bytes(version_bytes: int) -> int:
    wanted = version_bytes // _MIN_CHUNKS
    size = manifest_lib.MIN_CHUNK_BYTES
    while size * 2 <= min(wanted, _MAX_CHUNK_BYTES):
        size *= 2
    return size


def _describe(size: sizes.Size) -> str:
    services = ", ".join(f"{s.workers} x {s.name}" for s in size.services)
    return (
        f"{size.name}: {size.entries} entries in {len(size.places)} failure "
        f"domains before {services}"
    )
