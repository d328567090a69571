"""Faults of a rollout measurement and when they happen.

All times are shares of the fluid bound, so that they hit the same stage of the
rollout at every size.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from clementinegw.bench import _rollout_types as types_

_DIE_SHARE = 0.05
_DIE_AT = (0.1, 0.6)
_NOTICED = 0.1
_STALL_SHARE = 0.05
_STALL_AT = (0.1, 0.5)
_STALL_FOR = 0.4
_CORRUPT_SHARE = 0.05
_CORRUPT_AT = (0.0, 0.3)
_CORRUPT_FOR = 0.5
# By then the origin has sent less than half of the first version; half of
# the second one is new.
_CHANGE_AT = 0.2
_CUT_AT = 0.3
_CUT_FOR = 0.6


async def inject(rollout: Any) -> None:
    """Lets the plan's faults happen to a `_rollout_run.Rollout`."""
    table: dict[types_.Fault, Callable[[Any], Awaitable[None]]] = {
        types_.Fault.DIE: _die,
        types_.Fault.STALL: _stall,
        types_.Fault.CORRUPT: _corrupt,
        types_.Fault.CHANGE: _change,
        types_.Fault.PARTITION: _partition,
    }
    faults = sorted(rollout.plan.faults)
    await asyncio.gather(*(table[fault](rollout) for fault in faults))


def _some(rollout: Any, share: float) -> list:
    count = max(1, round(share * rollout.plan.replicas))
    return rollout.rng.sample(rollout.nodes, count)


async def _wait(rollout: Any, share: float) -> None:
    await asyncio.sleep(share * rollout.plan.bound_s)


def _note(rollout: Any, text: str) -> None:
    now = asyncio.get_running_loop().time() - rollout.found.began
    rollout.found.events.append(f"{now:.2f} {text}")


async def _die(rollout: Any) -> None:
    victims = _some(rollout, _DIE_SHARE)
    times = [rollout.rng.uniform(*_DIE_AT) for _ in victims]
    pairs = zip(victims, times, strict=True)
    await asyncio.gather(*(_die_one(rollout, v, at) for v, at in pairs))


async def _die_one(rollout: Any, victim: Any, at: float) -> None:
    await _wait(rollout, at)
    _note(rollout, f"{victim.name} dies")
    await victim.stop()
    await _wait(rollout, _NOTICED)
    _tell_fleets(rollout)


def _tell_fleets(rollout: Any) -> None:
    """Says to each agent which others its membership reaches."""
    for node in rollout.live:
        mine = node.place.failure_domain
        seen = [
            other.instance
            for other in rollout.live
            if not rollout.cut.between(mine, other.place.failure_domain)
        ]
        node.mover.set_fleet(seen)


async def _stall(rollout: Any) -> None:
    victims = _some(rollout, _STALL_SHARE)
    times = [rollout.rng.uniform(*_STALL_AT) for _ in victims]
    pairs = zip(victims, times, strict=True)
    await asyncio.gather(*(_stall_one(rollout, v, at) for v, at in pairs))


async def _stall_one(rollout: Any, victim: Any, at: float) -> None:
    await _wait(rollout, at)
    _note(rollout, f"{victim.name} stalls")
    victim.link.stall(True)
    await _wait(rollout, _STALL_FOR)
    victim.link.stall(False)


async def _corrupt(rollout: Any) -> None:
    victims = _some(rollout, _CORRUPT_SHARE)
    times = [rollout.rng.uniform(*_CORRUPT_AT) for _ in victims]
    pairs = zip(victims, times, strict=True)
    await asyncio.gather(*(_corrupt_one(rollout, v, at) for v, at in pairs))


async def _corrupt_one(rollout: Any, victim: Any, at: float) -> None:
    await _wait(rollout, at)
    _note(rollout, f"{victim.name} corrupts")
    victim.store.corrupts = True
    await _wait(rollout, _CORRUPT_FOR)
    victim.store.corrupts = False


async def _change(rollout: Any) -> None:
    await _wait(rollout, _CHANGE_AT)
    _note(rollout, "the version changes")
    rollout.set_target(rollout.second)


async def _partition(rollout: Any) -> None:
    await _wait(rollout, _CUT_AT)
    domain = "d0"
    _note(rollout, f"{domain} is cut off")
    rollout.cut.domain = domain
    rollout.origin.listener(domain).faults.down = True
    for node in rollout.live:
        mine = node.place.failure_domain
        for connection in node.endpoint.connections():
            other = connection.peer.place.failure_domain
            if rollout.cut.between(mine, other):
                connection.abort()
    await _wait(rollout, _NOTICED)
    _tell_fleets(rollout)
    await _wait(rollout, _CUT_FOR - _NOTICED)
    _note(rollout, f"{domain} is joined again")
    rollout.found.drawn_at_heal = rollout.origin.bytes_served
    rollout.found.healed = asyncio.get_running_loop().time()
    rollout.cut.domain = ""
    rollout.origin.listener(domain).faults.down = False
    await _wait(rollout, _NOTICED)
    _tell_fleets(rollout)
