"""The store is back after it was silent to everybody for some seconds."""

import asyncio

import platform_site
import test_platform_relay

# After this the processes are bound again, in seconds.
_IN_TOUCH_S = 3.0


async def play(silent_s):
    """Returns how long after the return all are up to date."""
    async with test_platform_relay.Domain(3) as domain:
        domain.store.put("keyed.op", "config", platform_site.config())
        await domain.until(1, 5.0)
        await asyncio.sleep(4.0)
        domain.store.silent = True
        await asyncio.sleep(silent_s)
        domain.store.silent = False
        config = platform_site.config(version=2)
        domain.store.put("keyed.op", "config", config)
        return await domain.until(2, 15.0)


def test_a_question_that_is_lost_as_the_store_returns_is_soon_given_up():
    """Two entries served nobody for four seconds after the store was back.

    Each call without an answer had made the next one wait twice as long, for
    the sake of large answers on a narrow link; the one that was on its way as
    the store came back was lost, and waited for.
    """
    took = [platform_site.run(play(6.0 + moment / 2)) for moment in range(12)]
    assert max(took) < 0.95 * _IN_TOUCH_S, took
