"""A reader that stands still or is cut off, seen by those who ask it."""

import asyncio

import platform_site
import pytest
import test_platform_relay

# Within this after its acknowledgement a change must be in force, and a server
# that leaves must get nothing more: the tightest of the platform's sites.
_BOUND_S = 2.0


class Mute:
    """A transport that sends nothing and stays open."""

    def write(self, data):
        pass

    def abort(self):
        pass


def freeze(entry):
    """Stops a process: nothing comes from it, and nothing goes out."""
    endpoint = entry._relay._endpoint
    endpoint._ping_task.cancel()
    for link in endpoint._links:
        link.data_received = lambda data: None
        link._transport = Mute()
    endpoint._server.close()


class Path:
    """A process's way to the store, which may be cut."""

    def __init__(self, entry):
        self._pool = entry._relay._platform._store._pool
        self._call = self._pool.call
        self._cut = asyncio.Event()
        self._pool.call = self.call

    def cut(self):
        self._cut.set()

    async def call(self, *args):
        """Hangs once the path is cut, as long as the caller has patience."""
        clock = asyncio.get_running_loop().time
        patient_until = clock() + args[-1].head_s
        call = asyncio.ensure_future(self._call(*args))
        cut = asyncio.ensure_future(self._cut.wait())
        try:
            await asyncio.wait({call, cut}, return_when="FIRST_COMPLETED")
            if not cut.done():
                return await call
        finally:
            call.cancel()
            cut.cancel()
        await asyncio.sleep(patient_until - clock())
        raise TimeoutError


def serves(entry):
    """Returns whether others ask an entry."""
    return entry._relay._topics["operators"].serving


async def play(harm, phase_s):
    """Returns how long a change and a server's leaving took to be known."""
    async with test_platform_relay.Domain(4) as domain:
        put = domain.store.put
        put("keyed.op", "config", platform_site.config())
        server = platform_site.Server("i-1")
        await server.start()
        put("keyed.servers", "i-1", server.record())
        await domain.until(1, 5.0)
        paths = {entry: Path(entry) for entry in domain.entries}
        await asyncio.sleep(8.0 + phase_s)
        (reader,) = (e for e in domain.entries if serves(e))
        domain.entries.remove(reader)
        if harm == "frozen":
            freeze(reader)
        else:
            paths[reader].cut()
        put("keyed.op", "config", platform_site.config(version=2))
        leaving = server.record(state="draining", sequence=2)
        put("keyed.servers", "i-1", leaving)
        clock = asyncio.get_running_loop().time
        started = clock()
        took = {}
        while len(took) < 2 and clock() - started < 6.0:
            await asyncio.sleep(0.01)
            if set(domain.versions()) == {2}:
                took.setdefault("change", clock() - started)
            found = [e._fleet.find("i-1") for e in domain.entries]
            if all(backend.retired for backend in found):
                took.setdefault("leaving", clock() - started)
        domain.entries.append(reader)
        await server.stop()
        return took


@pytest.mark.parametrize("harm", ["frozen", "cut"])
def test_a_change_is_in_force_in_time_though_the_reader_falls_out(harm):
    """A reader froze or was cut off, and its failure domain heard nothing.

    Its neighbours are in touch with the platform and are bound as if they read
    the store themselves.
    """
    for phase in range(14):
        took = platform_site.run(play(harm, phase / 10))
        assert len(took) == 2
        assert max(took.values()) < 0.9 * _BOUND_S, (phase, took)
