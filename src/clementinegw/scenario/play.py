"""Plays one scenario against a whole deployment, in virtual time."""

import functools

from clementinegw.scenario import deployed
from clementinegw.scenario import runner
from clementinegw.scenario import types
from clementinegw.testing import clock as clocks
from clementinegw.testing import processes

# Real seconds that the loop gives the loopback before it jumps; see
# docs/design/scenarios.md for how it was chosen.
_GRACE_S = 0.001
# Timers of many processes share one jump.
_TICK_S = 0.005


def play(scenario: types.Scenario) -> runner.Report:
    """Runs a scenario from start to end.

    Args:
      scenario: What to play.

    Returns:
      The verdict.
    """
    clock = clocks.VirtualClock()

    async def run() -> runner.Report:
        world = deployed.DeployedWorld(scenario, clock)
        return await runner.Runner(scenario, world).run()

    make_loop = functools.partial(processes.ProcessLoop, tick_s=_TICK_S)
    return clocks.run(run(), clock, _GRACE_S, make_loop)
