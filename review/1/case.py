"""Freezes a machine's agent while it verifies the staged pieces.

Meanwhile a piece that it has verified already turns bad. The pages name both:
machines of the system freeze and wake again, and staged data may become
corrupted. RULES, WHOLE, excuses a piece that turned bad in the last three
seconds before the layer is taken; here it is bad for longer.
"""

import asyncio
import os
import pathlib
import signal
import sys
import tempfile
import time

_HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(_HERE.parent / "lib"))

import deployment  # noqa: E402
import model_server  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# As long as machines freeze in the users' sheets, in seconds.
FREEZE_S = 4.0
# When the piece turns bad, in seconds after the freeze begins.
SPOIL_AFTER_S = 0.2
VERIFIED_PIECE = 0
# The agent is stopped when it reads this piece back, in mid-verification.
FREEZE_AT_PIECE = 24


class Trouble:
    """Stops one agent once, when its server is asked for a staged piece."""

    def __init__(self, agent, server):
        self._agent = agent
        self._server = server
        self.happened = False

    def on_stage_get(self, number):
        """Strikes at the first reading of a piece of the new version."""
        staged = self._server.staged(number)
        is_new = staged == model_server.piece(2, number)
        if self.happened or number != FREEZE_AT_PIECE or not is_new:
            return
        self.happened = True
        # The answer to this call still goes out; a stopped process reads it
        # when it goes on.
        self._agent.signal(signal.SIGSTOP)
        loop = asyncio.get_running_loop()
        loop.call_later(SPOIL_AFTER_S, self._server.spoil, VERIFIED_PIECE)
        loop.call_later(FREEZE_S, self._agent.signal, signal.SIGCONT)


async def scenario(folder, record_path):
    """Returns whether no token was made with a spoilt layer.

    Raises:
      RuntimeError: The case could not run.
    """
    site = deployment.Site(folder, record_path)
    try:
        await site.start()
        trouble = Trouble(site.agents[0], site.servers[0])
        if TROUBLE:
            site.servers[0].on_stage_get = trouble.on_stage_get
        began_at = time.monotonic()
        sending = asyncio.create_task(site.traffic(15, began_at + 24.0))
        await asyncio.sleep(4.0)
        site.record("version 2 is declared and acknowledged")
        declared = {"model": model_server.MODEL, "version": 2}
        site.store.put("keyed.op", f"version/{model_server.MODEL}", declared)
        await sending
        await asyncio.sleep(0.5)
        if TROUBLE and not trouble.happened:
            raise RuntimeError("the agent never verified the pieces")
        if any(server.version != 2 for server in site.servers):
            raise RuntimeError("a server did not get version 2")
        if site.served_share(began_at, began_at + 23.0) < 0.25:
            raise RuntimeError("too few requests were served")
        broken = [text for server in site.servers for text in server.broken]
        site.record(f"WHOLE: {len(broken)} runs with a spoilt layer")
        for text in broken[:10]:
            site.record(text)
        return not broken
    finally:
        await site.stop()


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as temporary:
        deployment.main(scenario, pathlib.Path(temporary), _HERE / "record.txt")
