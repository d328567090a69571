"""Versions are due from their naming on, whenever a process learns of them."""

import asyncio

import platform_site as sites
import test_direct_agent as agent_sites

from clementinegw.wire import codec
from clementinegw.wire.gen.reports import ttypes

MODEL = ["X-Clementinegw-Model: m"]
ENGINE = {"slots": 8, "step_ms": 7.0, "models": [{"name": "m"}]}


class Site(sites.Site):
    """An entry before a server that stays on version 1 when 2 is named."""

    async def __aenter__(self):
        await super().__aenter__()
        service = {"name": "plain", "engine": ENGINE}
        change = sites.config(2, services=[service])
        self.store.put("keyed.op", "config", change)
        self.list_version(self.servers[0], 1)
        # Lists are read about once a second.
        await asyncio.sleep(1.5)
        return self

    def name(self):
        version = {"model": "m", "version": 2}
        self.store.put("keyed.op", "version/m", version)

    async def start_again(self):
        """Returns when the process started, which may read some time later."""
        await self.entry.stop()
        started_at = asyncio.get_running_loop().time()
        await self.start_entry()
        await asyncio.sleep(0.1)
        return started_at

    def tell(self, age_s):
        """Lets an agent tell how long ago the version was named."""
        report = ttypes.BackendReport(
            "", 0, 0, 1, "m", 0, False, False, 1.0, False, 0, -1.0
        )
        report.ages_ms = {2: round(1e3 * age_s)}
        data = codec.encode(report)
        self.entry._reports.datagram_received(data, ("127.0.0.1", 1))

    async def serves(self):
        answer = await self.ask(headers=MODEL)
        return answer.status == 200


async def until(at):
    await asyncio.sleep(at - asyncio.get_running_loop().time())


async def starts_and_nobody_can_tell():
    """The process isn't bound for three seconds, and for no longer."""
    async with Site("i-1") as site:
        site.name()
        await asyncio.sleep(4.0)
        started_at = await site.start_again()
        await until(started_at + 1.9)
        early = await site.serves()
        await until(started_at + 2.9)
        return early, await site.serves()


async def starts_and_an_agent_tells():
    async with Site("i-1") as site:
        site.name()
        await asyncio.sleep(3.9)
        await site.start_again()
        site.tell(4.0)
        await asyncio.sleep(3.3)
        early = await site.serves()
        await asyncio.sleep(0.5)
        return early, await site.serves()


async def is_cut_off_from_the_store_alone():
    async with Site("i-1") as site:
        site.store.silent = True
        await asyncio.sleep(2.5)
        site.name()
        await asyncio.sleep(1.0)
        site.tell(1.0)
        await asyncio.sleep(4.0)
        site.store.silent = False
        await asyncio.sleep(2.3)
        early = await site.serves()
        await asyncio.sleep(0.5)
        return early, await site.serves()


async def is_suspended():
    async with Site("i-1") as site:
        site.name()
        await asyncio.sleep(0.5)
        site.suspended_s = 3.0
        await asyncio.sleep(3.7)
        early = await site.serves()
        await asyncio.sleep(0.6)
        return early, await site.serves()


async def _waits_at_a_server(change):
    async def slow(call):
        await asyncio.sleep(1.0)
        call.begin_stream()
        call.event(1)
        call.end_stream()

    async with Site("i-1", on_call=slow) as site:
        await change(site, None)
        asking = asyncio.ensure_future(site.ask("/stream/1", headers=MODEL))
        await asyncio.sleep(0.2)
        await change(site, asking)
        answer = await asking
        return len(site.servers[0].calls) == 1, answer.status == 200


async def learns_while_a_request_waits_at_a_server():
    async def told(site, asking):
        if asking is not None:
            site.tell(7.5)

    return await _waits_at_a_server(told)


async def is_suspended_while_a_request_waits_at_a_server():
    async def slept(site, asking):
        if asking is None:
            site.name()
            await asyncio.sleep(4.0)
        else:
            site.suspended_s = 3.3

    return await _waits_at_a_server(slept)


def test_an_entry_sends_to_a_former_version_until_it_is_due_and_no_longer():
    """Symptom: a request begins on version 1 after version 2 was due.

    Sequence: an entry starts, is cut off from the store alone, or stands still
    while a version is in its eight seconds; its neighbours keep the time, and
    it alone sends to a server on the former version. Cause: the time counted
    from the moment at which the process learned of the version, by a clock
    that stands still with the machine.
    """
    plays = [
        starts_and_nobody_can_tell,
        starts_and_an_agent_tells,
        is_cut_off_from_the_store_alone,
        is_suspended,
        learns_while_a_request_waits_at_a_server,
        is_suspended_while_a_request_waits_at_a_server,
    ]
    found = {play.__name__: sites.run(play()) for play in plays}
    assert found == dict.fromkeys(found, (True, False))


def test_a_request_that_names_no_model_is_held_to_the_version_too():
    """A request began on a former version long after the next one was due.

    It named no model, so no version of one was demanded for it; its service has
    engines for one model only.
    """

    async def play():
        async with Site("i-1") as site:
            site.name()
            await asyncio.sleep(7.0)
            early = (await site.ask()).status
            await asyncio.sleep(1.2)
            return early, (await site.ask()).status

    assert sites.run(play()) == (200, 503)


# Agents.


async def agents_start_and_nobody_can_tell(site):
    await asyncio.sleep(2.0)
    for agent in site.agents:
        await agent.stop()
    site.agents.clear()
    again_at = site.boot_time()
    for number in range(len(site.local_servers)):
        host = f"{agent_sites.NETWORK}.{11 + number}"
        await site.start(number, host)
    return again_at + 3.0


async def agents_start_and_an_entry_tells(site):
    due_at = site.boot_time() + 8.0
    await agents_start_and_nobody_can_tell(site)
    for agent in site.agents:
        age_ms = round(1e3 * (site.boot_time() - due_at + 8.0))
        told = ttypes.Subscribe("entry", {agent_sites.MODEL: 2})
        told.ages_ms = {agent_sites.MODEL: {2: age_ms}}
        agent._reporter.datagram_received(codec.encode(told), ("127.0.0.1", 9))
    return due_at


async def agents_are_suspended(site):
    due_at = site.boot_time() + 8.0
    await asyncio.sleep(1.0)
    site.suspended_s = 3.0
    return due_at


def test_an_agent_knows_when_a_version_is_due_from_its_naming_on():
    """Symptom: a server loads seconds later than it had to.

    Sequence: the agent beside it starts again, or stands still, while a
    version is in its eight seconds, and leaves itself eight more. Cause: the
    time counted from the moment at which the agent learned of the version.
    """

    async def play(happens):
        async with agent_sites.Site() as site:
            await site.until_all_hold(1)
            site.origin.down = True
            site.declare(2)
            await asyncio.sleep(0.1)
            due_at = await happens(site)
            await asyncio.sleep(0.5)
            # When a load must begin at the latest.
            lasts = [agent._updater._latest_load_at(2) for agent in site.agents]
            return all(-1.5 < last - due_at < -0.5 for last in lasts)

    plays = [
        agents_start_and_nobody_can_tell,
        agents_start_and_an_entry_tells,
        agents_are_suspended,
    ]
    found = {p.__name__: agent_sites.run(play(p)) for p in plays}
    assert found == dict.fromkeys(found, True)
