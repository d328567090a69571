"""Tests that long polls are given up while members are ahead."""

import asyncio

from clementinegw.settings import _polls
from clementinegw.settings import exchange
from clementinegw.testing import clock as clocks

STALL_S = 20.0


class _Ahead(exchange.NoPeers):
    """Members that have advertised revision 7 for a long time."""

    def newest_revision(self):
        return 7


def test_poll_is_given_up_again_while_members_stay_ahead():
    """A process took 19 s instead of 7 s to get a change.

    Its failure domain was cut off from the log. Its long poll stalled and was
    given up, the peer that it pulled from was behind as well, and it polled
    again. A poll was given up only once per revision, so the second one stalled
    until its own timeout.
    """

    async def main(clock):
        polls = _polls.LongPolls(_Ahead(), clock, 0.5)
        started_at = clock.now()
        for _ in range(2):
            stalled = asyncio.ensure_future(asyncio.sleep(STALL_S))
            assert not await polls.wait(stalled, revision=3)
        return clock.now() - started_at

    clock = clocks.VirtualClock()
    assert clocks.run(main(clock), clock) < 7.0
