"""Injects the faults of a rollout measurement.

All times are shares of the fluid bound, so that a fault occurs at the same
stage of the rollout at every size.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from clementinegw.bench import _rollout_types as types_

_DIE_SHARE = 0.05
_DIE_AT = (0.1, 0.6)
_DETECTION_DELAY = 0.1
_STALL_SHARE = 0.05
_STALL_AT = (0.1, 0.5)
_STALL_DURATION = 0.4
_CORRUPT_SHARE = 0.05
_CORRUPT_AT = (0.0, 0.3)
_CORRUPT_DURATION = 0.5
# At this time the origin has sent less than half of the first version. Half of
# the chunks of the second version are new.
_CHANGE_AT = 0.2
_PARTITION_AT = 0.3
_PARTITION_DURATION = 0.6


async def inject(rollout: Any) -> None:
    """Injects the plan's faults into a `_rollout_run.Rollout`."""
    table: dict[types_.Fault, Callable[[Any], Awaitable[None]]] = {
        types_.Fault.DIE: _die,
        types_.Fault.STALL: _stall,
        types_.Fault.CORRUPT: _corrupt,
        types_.Fault.CHANGE: _change,
        types_.Fault.PARTITION: _partition,
    }
    faults = sorted(rollout.plan.faults)
    await asyncio.gather(*(table[fault](rollout) for fault in faults))


def _sample_nodes(rollout: Any, share: float) -> list:
    count = max(1, round(share * rollout.plan.replicas))
    return rollout.rng.sample(rollout.nodes, count)


async def _sleep_share(rollout: Any, share: float) -> None:
    await asyncio.sleep(share * rollout.plan.bound_s)


def _record_event(rollout: Any, text: str) -> None:
    now = asyncio.get_running_loop().time() - rollout.result.started_at
    rollout.result.events.append(f"{now:.2f} {text}")


async def _die(rollout: Any) -> None:
    victims = _sample_nodes(rollout, _DIE_SHARE)
    times = [rollout.rng.uniform(*_DIE_AT) for _ in victims]
    pairs = zip(victims, times, strict=True)
    await asyncio.gather(*(_die_one(rollout, v, at) for v, at in pairs))


async def _die_one(rollout: Any, victim: Any, at: float) -> None:
    await _sleep_share(rollout, at)
    _record_event(rollout, f"{victim.name} dies")
    await victim.stop()
    await _sleep_share(rollout, _DETECTION_DELAY)
    _update_fleets(rollout)


def _update_fleets(rollout: Any) -> None:
    """Passes each live agent the list of live agents that it can reach."""
    for node in rollout.live:
        local_domain = node.place.failure_domain
        reachable = [
            other.instance
            for other in rollout.live
            if not rollout.partition.separates(
                local_domain, other.place.failure_domain
            )
        ]
        node.fetcher.set_fleet(reachable)


async def _stall(rollout: Any) -> None:
    victims = _sample_nodes(rollout, _STALL_SHARE)
    times = [rollout.rng.uniform(*_STALL_AT) for _ in victims]
    pairs = zip(victims, times, strict=True)
    await asyncio.gather(*(_stall_one(rollout, v, at) for v, at in pairs))


async def _stall_one(rollout: Any, victim: Any, at: float) -> None:
    await _sleep_share(rollout, at)
    _record_event(rollout, f"{victim.name} stalls")
    victim.link.stall(True)
    await _sleep_share(rollout, _STALL_DURATION)
    victim.link.stall(False)


async def _corrupt(rollout: Any) -> None:
    victims = _sample_nodes(rollout, _CORRUPT_SHARE)
    times = [rollout.rng.uniform(*_CORRUPT_AT) for _ in victims]
    pairs = zip(victims, times, strict=True)
    await asyncio.gather(*(_corrupt_one(rollout, v, at) for v, at in pairs))


async def _corrupt_one(rollout: Any, victim: Any, at: float) -> None:
    await _sleep_share(rollout, at)
    _record_event(rollout, f"{victim.name} corrupts")
    victim.store.corrupting = True
    await _sleep_share(rollout, _CORRUPT_DURATION)
    victim.store.corrupting = False


async def _change(rollout: Any) -> None:
    await _sleep_share(rollout, _CHANGE_AT)
    _record_event(rollout, "the version changes")
    rollout.set_target(rollout.second)


async def _partition(rollout: Any) -> None:
    await _sleep_share(rollout, _PARTITION_AT)
    domain = "d0"
    _record_event(rollout, f"{domain} is partitioned")
    rollout.partition.domain = domain
    rollout.origin.listener(domain).faults.down = True
    for node in rollout.live:
        local_domain = node.place.failure_domain
        for connection in node.endpoint.connections():
            other = connection.peer.place.failure_domain
            if rollout.partition.separates(local_domain, other):
                connection.abort()
    await _sleep_share(rollout, _DETECTION_DELAY)
    _update_fleets(rollout)
    await _sleep_share(rollout, _PARTITION_DURATION - _DETECTION_DELAY)
    _record_event(rollout, f"{domain} is reachable again")
    rollout.result.origin_bytes_at_heal = rollout.origin.bytes_served
    rollout.result.healed_at = asyncio.get_running_loop().time()
    rollout.partition.domain = ""
    rollout.origin.listener(domain).faults.down = False
    await _sleep_share(rollout, _DETECTION_DELAY)
    _update_fleets(rollout)
