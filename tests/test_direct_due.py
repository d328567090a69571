"""Due times run from a declaration, whenever a process learns of it."""

import asyncio

import platform_site as sites
import test_direct_agent as agent_sites

from clementinegw.wire import codec
from clementinegw.wire.gen.reports import ttypes

MODEL = ["X-Clementinegw-Model: m"]
ENGINE = {"slots": 8, "step_ms": 7.0, "models": [{"name": "m"}]}


class Site(sites.Site):
    """An entry with a server that stays on version 1 when 2 is declared."""

    async def __aenter__(self):
        await super().__aenter__()
        service = {"name": "plain", "engine": ENGINE}
        change = sites.config(2, services=[service])
        self.store.put("keyed.op", "config", change)
        self.list_version(self.servers[0], 1)
        # The list of servers is read about once a second.
        await asyncio.sleep(1.5)
        return self

    def name(self):
        version = {"model": "m", "version": 2}
        self.store.put("keyed.op", "version/m", version)

    async def restart(self):
        """Restarts the entry; returns when it started, before any read."""
        await self.entry.stop()
        started_at = asyncio.get_running_loop().time()
        await self.start_entry()
        await asyncio.sleep(0.1)
        return started_at

    def report_age(self, age_s):
        """Delivers an agent's report of the age of version 2, in seconds."""
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


async def restarts_and_no_process_knows_the_age():
    """Deadlines apply to the process after three seconds."""
    async with Site("i-1") as site:
        site.name()
        await asyncio.sleep(4.0)
        started_at = await site.restart()
        await until(started_at + 1.9)
        early = await site.serves()
        await until(started_at + 2.9)
        return early, await site.serves()


async def restarts_and_an_agent_reports_the_age():
    async with Site("i-1") as site:
        site.name()
        await asyncio.sleep(3.9)
        await site.restart()
        site.report_age(4.0)
        await asyncio.sleep(3.3)
        early = await site.serves()
        await asyncio.sleep(0.5)
        return early, await site.serves()


async def is_disconnected_from_the_store_alone():
    async with Site("i-1") as site:
        site.store.silent = True
        await asyncio.sleep(2.5)
        site.name()
        await asyncio.sleep(1.0)
        site.report_age(1.0)
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


async def _serves_waiting_request(change):
    async def slow(call):
        await asyncio.sleep(1.0)
        call.begin_stream()
        call.event(1)
        call.end_stream()

    async with Site("i-1", on_call=slow) as site:
        await change(site, None)
        request_task = asyncio.ensure_future(
            site.ask("/stream/1", headers=MODEL)
        )
        await asyncio.sleep(0.2)
        await change(site, request_task)
        answer = await request_task
        return len(site.servers[0].calls) == 1, answer.status == 200


async def learns_the_age_while_a_request_waits():
    async def report_age(site, request_task):
        if request_task is not None:
            site.report_age(7.5)

    return await _serves_waiting_request(report_age)


async def is_suspended_while_a_request_waits():
    async def suspend(site, request_task):
        if request_task is None:
            site.name()
            await asyncio.sleep(4.0)
        else:
            site.suspended_s = 3.3

    return await _serves_waiting_request(suspend)


def test_an_entry_uses_the_former_version_until_the_new_one_is_due():
    """Guards against a request on version 1 after version 2 was due.

    An entry restarts, is the only one disconnected from the store, or is
    suspended within the eight seconds after a declaration, and keeps sending to
    a server on the former version. The due time was counted from when the
    process learned of the version, by a clock that stops while the machine is
    suspended.
    """
    scenarios = [
        restarts_and_no_process_knows_the_age,
        restarts_and_an_agent_reports_the_age,
        is_disconnected_from_the_store_alone,
        is_suspended,
        learns_the_age_while_a_request_waits,
        is_suspended_while_a_request_waits,
    ]
    results = {
        scenario.__name__: sites.run(scenario()) for scenario in scenarios
    }
    assert results == dict.fromkeys(results, (True, False))


def test_a_request_without_a_model_requires_the_version_too():
    """Guards against a request on a former version long after the due time.

    The request named no model, so no version was required for it, although all
    engines of its service have the same model.
    """

    async def scenario():
        async with Site("i-1") as site:
            site.name()
            await asyncio.sleep(7.0)
            early = (await site.ask()).status
            await asyncio.sleep(1.2)
            return early, (await site.ask()).status

    assert sites.run(scenario()) == (200, 503)


# Agents.


async def agents_restart_and_no_process_knows_the_age(site):
    await asyncio.sleep(2.0)
    for agent in site.agents:
        await agent.stop()
    site.agents.clear()
    again_at = site.boot_time()
    for number in range(len(site.local_servers)):
        host = f"{agent_sites.NETWORK}.{11 + number}"
        await site.start(number, host)
    return again_at + 3.0


async def agents_restart_and_an_entry_reports_the_age(site):
    due_at = site.boot_time() + 8.0
    await agents_restart_and_no_process_knows_the_age(site)
    for agent in site.agents:
        age_ms = round(1e3 * (site.boot_time() - due_at + 8.0))
        subscription = ttypes.Subscribe("entry", {agent_sites.MODEL: 2})
        subscription.ages_ms = {agent_sites.MODEL: {2: age_ms}}
        agent._reporter.datagram_received(
            codec.encode(subscription), ("127.0.0.1", 9)
        )
    return due_at


async def agents_are_suspended(site):
    due_at = site.boot_time() + 8.0
    await asyncio.sleep(1.0)
    site.suspended_s = 3.0
    return due_at


def test_an_agent_dates_the_due_time_from_the_declaration():
    """Guards against a server that loads seconds too late.

    Its agent restarts or is suspended within the eight seconds after a
    declaration. The due time was counted from when the agent learned of the
    version.
    """

    async def scenario(action):
        async with agent_sites.Site() as site:
            await site.until_all_hold(1)
            site.origin.down = True
            site.declare(2)
            await asyncio.sleep(0.1)
            due_at = await action(site)
            await asyncio.sleep(0.5)
            # The latest times at which the servers must load.
            latest_loads = [
                agent._updater._latest_load_at(2) for agent in site.agents
            ]
            return all(-1.5 < latest - due_at < -0.5 for latest in latest_loads)

    scenarios = [
        agents_restart_and_no_process_knows_the_age,
        agents_restart_and_an_entry_reports_the_age,
        agents_are_suspended,
    ]
    results = {p.__name__: agent_sites.run(scenario(p)) for p in scenarios}
    assert results == dict.fromkeys(results, True)
