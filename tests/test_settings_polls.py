"""Long polls that are given up while the members know more."""

import asyncio

from clementinegw.settings import _polls
from clementinegw.settings import exchange
from clementinegw.testing import clock as clocks

HANG_S = 20.0


class _Ahead(exchange.NoPeers):
    """Members that have known revision 7 for long."""

    def newest_revision(self):
        return 7


def test_poll_is_given_up_again_while_members_stay_ahead():
    """Symptom: a process takes 19 s instead of 7 s to get a change.

    Sequence: its failure domain is cut off from the log; its long poll hangs
    and is given up; the peer that it asks is behind as well; it polls again.
    Cause: a poll was given up once a revision, so the second one hung to its
    own timeout.
    """

    async def main(clock):
        polls = _polls.LongPolls(_Ahead(), clock, 0.5)
        began = clock.now()
        for _ in range(2):
            hanging = asyncio.ensure_future(asyncio.sleep(HANG_S))
            assert not await polls.wait(hanging, revision=3)
        return clock.now() - began

    clock = clocks.VirtualClock()
    assert clocks.run(main(clock), clock) < 7.0
