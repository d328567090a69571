"""Tests for a reader that freezes or loses the store while others ask it."""

import asyncio

import platform_site
import pytest
import test_platform_relay

# The time after its acknowledgement, in seconds, within which a change must be
# in force and a leaving server must get its last request: the tightest bound of
# the platform's sites.
_BOUND_S = 2.0


class SilentTransport:
    """A transport that stays open and sends nothing."""

    def write(self, data):
        pass

    def abort(self):
        pass


def freeze(entry):
    """Freezes the relay of an entry: it neither receives nor sends."""
    endpoint = entry._relay._endpoint
    endpoint._ping_task.cancel()
    for link in endpoint._links:
        link.data_received = lambda data: None
        link._transport = SilentTransport()
    endpoint._server.close()


class StorePath:
    """An entry's path to the store, which can be cut."""

    def __init__(self, entry):
        self._pool = entry._relay._platform._store._pool
        self._call = self._pool.call
        self._cut = asyncio.Event()
        self._pool.call = self.call

    def cut(self):
        self._cut.set()

    async def call(self, *args):
        """Forwards a call, which times out if the path is cut."""
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


def reads_for_others(entry):
    """Returns whether an entry reads for others."""
    return entry._relay._topics["operators"].serving


async def play(fault, phase_s):
    """Returns the delays of a change and of a server's leaving, in seconds."""
    async with test_platform_relay.Domain(4) as domain:
        put = domain.store.put
        put("keyed.op", "config", platform_site.config())
        server = platform_site.Server("i-1")
        await server.start()
        put("keyed.servers", "i-1", server.record())
        await domain.until(1, 5.0)
        paths = {entry: StorePath(entry) for entry in domain.entries}
        await asyncio.sleep(8.0 + phase_s)
        (reader,) = (e for e in domain.entries if reads_for_others(e))
        domain.entries.remove(reader)
        if fault == "frozen":
            freeze(reader)
        else:
            paths[reader].cut()
        put("keyed.op", "config", platform_site.config(version=2))
        leaving = server.record(state="draining", sequence=2)
        put("keyed.servers", "i-1", leaving)
        clock = asyncio.get_running_loop().time
        started = clock()
        durations_s = {}
        while len(durations_s) < 2 and clock() - started < 6.0:
            await asyncio.sleep(0.01)
            if set(domain.versions()) == {2}:
                durations_s.setdefault("change", clock() - started)
            backends = [e._fleet.find("i-1") for e in domain.entries]
            if all(backend.retired for backend in backends):
                durations_s.setdefault("leaving", clock() - started)
        domain.entries.append(reader)
        await server.stop()
        return durations_s


@pytest.mark.parametrize("fault", ["frozen", "cut"])
def test_a_change_is_in_force_in_time_if_the_reader_fails(fault):
    """Guards against late changes if the reader freezes or loses the store.

    The other processes of its failure domain are connected to the platform, so
    the bounds apply to them as if they read the store themselves.
    """
    for phase in range(14):
        durations_s = platform_site.run(play(fault, phase / 10))
        assert len(durations_s) == 2
        assert max(durations_s.values()) < 0.9 * _BOUND_S, (phase, durations_s)
