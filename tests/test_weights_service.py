"""Tests agents from a declaration to the served version, in virtual time."""

import asyncio

import pytest
import weights_site

from clementinegw import types
from clementinegw.commands import main
from clementinegw.daemons import status as status_pages
from clementinegw.weights import status as statuses

V1, V2, V3 = weights_site.V1, weights_site.V2, weights_site.V3
run = weights_site.run


def test_new_version_reaches_all_within_the_share():
    """Workers swap two at a time; no request is answered by mixed weights."""

    async def scenario(site):
        await site.start()
        started_at = site.clock.now()
        site.declare(V2, 2)
        await site.wait_until_served("2")
        # Three rounds of half a second to drain and one second to load.
        assert site.clock.now() - started_at < 6.0

    run(scenario, count=6)


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_rollback_is_a_declaration_and_fetches_nothing(checks_fencing):
    async def scenario(site):
        await site.start()
        site.declare(V2, 2)
        await site.wait_until_served("2")
        drawn = site.origin.bytes_served
        site.declare(V1, 3)
        await site.wait_until_served("1")
        assert site.origin.bytes_served == drawn

    run(scenario, count=2, checks_fencing=checks_fencing)


def test_without_the_log_chunks_are_fetched_and_no_worker_leaves_service():
    """The log is unreachable for a minute during a rollout, then returns.

    An engine that crashes meanwhile is loaded again without a lease, because
    its worker is out of service in any case.
    """

    async def scenario(site):
        await site.start()
        for agent in site.agents:
            agent.log.faults.down = True
        site.declare(V2, 2)
        await asyncio.sleep(60.0)
        for agent in site.agents:
            status = agent.weights.status()
            assert agent.serves == "1"
            assert status.held == status.total
            assert status.reason == "swap_limit"
        site.agents[0].crash_engine()
        await asyncio.sleep(20.0)
        assert site.agents[0].serves == "2"
        for agent in site.agents:
            agent.log.faults.down = False
        await site.wait_until_served("2")

    run(scenario, count=3)


def test_worker_that_drains_when_the_log_fails_serves_again():
    """A lease that cannot be renewed expires, also for a draining worker."""

    async def scenario(site):
        await site.start()
        agent = site.agents[0]
        agent.gate.request_s = 60.0
        await asyncio.sleep(1.0)
        site.declare(V2, 2)
        while agent.gate.open:
            await asyncio.sleep(0.1)
        agent.log.faults.down = True
        started_at = site.clock.now()
        while not agent.gate.open:
            await asyncio.sleep(0.1)
        assert site.clock.now() - started_at < 10.0
        assert agent.serves == "1"
        assert agent.counters.value("weights.load.permit_lost") == 1

    run(scenario, count=2)


def test_agent_that_stops_releases_its_lease():
    """Otherwise other workers would wait for the lease of a stopped worker."""

    async def scenario(site):
        await site.start()
        leaving, other = site.agents
        leaving.gate.request_s = 60.0
        await asyncio.sleep(1.0)
        other.log.faults.down = True
        site.declare(V2, 2)
        while leaving.gate.open:
            await asyncio.sleep(0.1)
        other.log.faults.down = False
        await asyncio.sleep(1.0)
        assert other.serves == "1"
        await leaving.weights.stop()
        leaving.disturbed = True
        await asyncio.sleep(5.0)
        assert other.serves == "2"

    run(scenario, count=2)


def test_replaced_agent_serves_at_once_and_fetches_nothing():
    """An agent is replaced while the store and the origin are unreachable.

    The engine still has the version loaded, and the manifest and the chunks are
    in the staging memory.
    """

    async def scenario(site):
        await site.start()
        drawn, orders = (
            site.origin.bytes_served,
            len(site.agents[0].engine.orders),
        )
        site.origin.faults.down = True
        site.agents[0].kill()
        await site.wait_until_served("1", limit_s=2.0)
        await asyncio.sleep(10.0)
        status = site.agents[0].weights.status()
        assert status.held == status.total
        assert site.origin.bytes_served == drawn
        assert len(site.agents[0].engine.orders) == orders

    run(scenario)


def test_replaced_agent_reuses_verified_chunks():
    """An agent dies during a fetch, and one staged chunk is then corrupted.

    Only the corrupt chunk and the missing ones are fetched from the origin.
    """

    async def scenario(site):
        agent = site.agents[0]
        manifest, blobs = weights_site.VERSIONS[0]
        for chunk in manifest.chunks[:2]:
            agent.engine.chunks[chunk.digest.hex()] = blobs[chunk.blob_name]
        damaged = manifest.chunks[1].digest.hex()
        agent.engine.chunks[damaged] = b"?" + agent.engine.chunks[damaged][1:]
        await site.start()
        size = weights_site.CHUNK_BYTES
        assert site.origin.bytes_served == 2 * size + len(manifest.encode())
        assert agent.counters.value("weights.staging.recovered") == 1
        assert agent.counters.value("weights.staging.corrupt") == 1

    run(scenario)


def test_abandoned_version_is_not_fetched_further():
    """The declared version changes while chunks of the first are fetched."""

    async def scenario(site):
        await site.start()
        site.origin.faults.slow_s = 1.0
        site.declare(V3, 2)
        await asyncio.sleep(1.5)
        site.declare(V1, 3)
        drawn = site.origin.bytes_served
        await asyncio.sleep(30.0)
        assert site.origin.bytes_served == drawn
        assert site.agents[0].serves == "1"
        assert len(site.agents[0].engine.orders) == 1

    run(scenario)


def test_version_that_no_engine_loads_takes_out_no_more_than_the_share():
    """A corrupt version takes out one worker; a rollback restores it."""

    async def scenario(site):
        await site.start()
        for agent in site.agents:
            agent.engine.faults.corrupt_loads = 1_000
        site.declare(V2, 2)
        await asyncio.sleep(300.0)
        serving = [agent.serves for agent in site.agents]
        assert sorted(serving) == ["", "1", "1"]
        for agent in site.agents:
            agent.engine.faults.corrupt_loads = 0
        site.declare(V1, 3)
        await site.wait_until_served("1", limit_s=10.0)

    run(scenario, count=3)


def test_late_order_overwrites_no_weights_that_are_served():
    """An order is in the accept queue for 8 s after its connection broke."""

    async def scenario(site):
        await site.start()
        site.agents[0].engine.faults.orders_late_s.append(8.0)
        site.declare(V2, 2)
        await site.wait_until_served("2")
        orders = site.agents[0].engine.orders
        assert [order.version for order in orders] == ["1", "2"]

    run(scenario, checks_fencing=False)


def test_unavailable_previous_version_delays_nothing():
    """Guards against a new instance that starts to fetch minutes late.

    The previous version's manifest is only in a store that stalls, and the new
    agent asks for it before it fetches the declared version.
    """

    async def scenario(site):
        await site.start()
        agent = site.agents[0]
        for blob in list(site.origin.blobs):
            if blob != V3.blob_name and "manifests/" in blob:
                del site.origin.blobs[blob]
        agent.kill()
        agent.engine.crash()
        original_get = site.origin.get

        async def get(name, *rest):
            if name == V2.blob_name:
                await asyncio.sleep(600.0)
            return await original_get(name, *rest)

        site.origin.get = get
        site.declare(V3, 2)
        await site.wait_until_served("3", limit_s=30.0)

    run(scenario)


class FakeExchange:
    """An exchange that has fetched a version and records its calls."""

    def __init__(self, calls):
        self.calls = calls
        self.complete = True

    def set_target(self, manifest):
        pass

    def recheck(self):
        self.calls.append("recheck")

    def on_complete(self, callback):
        pass


def test_exchange_rechecks_when_staged_chunks_are_lost():
    """Guards against fetching from the origin after an engine's restart.

    The exchange has finished, and the engine's host loses its staging memory.
    Without a recheck the exchange would assume that the chunks are still held,
    and they would be fetched from the origin.
    """

    async def scenario(site):
        calls = []
        site.exchange = FakeExchange(calls)
        await site.start()
        calls.clear()
        site.agents[0].crash_engine()
        await site.wait_until_served("")
        await site.wait_until_served("1")
        assert calls

    run(scenario)


A1, A2 = (manifest for manifest, _ in weights_site.ADAPTERS)


def adapters_served(agent):
    return dict(agent.weights.status().adapters)


def test_adapters_are_rolled_out_like_versions():
    """If only an adapter changes, the model is not fetched or loaded again."""

    async def scenario(site):
        await site.start()
        site.declare(V2, 2, A1)
        await site.wait_until_served("2")
        agents = site.agents
        assert all(adapters_served(a) == {"spur": "a1"} for a in agents)
        loads = [len(agent.engine.orders) for agent in agents]
        drawn = site.origin.bytes_served
        site.declare(V2, 3, A2)
        while any(adapters_served(a) != {"spur": "a2"} for a in agents):
            await asyncio.sleep(0.1)
        assert [len(agent.engine.orders) for agent in agents] == loads
        # One chunk of the adapter is new, and its manifest, at three agents.
        size = weights_site.CHUNK_BYTES + len(A2.encode())
        assert site.origin.bytes_served - drawn == 3 * size

    run(scenario, count=3)


def test_adapter_with_another_digest_is_not_served():
    """Guards against answers from corrupt weights of an adapter.

    The engine reports another digest for an adapter but still lists it by name
    and version, so the list does not prove that the adapter is intact.
    """

    async def scenario(site):
        await site.start()
        site.agents[0].engine.faults.corrupt_adapters = 3
        site.declare(V2, 2, A1)
        await asyncio.sleep(3.0)
        assert site.agents[0].serves != "2"
        await site.wait_until_served("2")
        assert site.agents[0].engine.faults.corrupt_adapters == 0

    run(scenario)


async def rollout_status(pages, *arguments):
    """Runs the command against pages served on the loopback interface."""
    servers = []
    for page in pages:
        address = types.Address("127.0.0.1", 0)
        servers.append(
            status_pages.StatusServer(address, lambda p=page: p, dict)
        )
        await servers[-1].start()
    addresses = ",".join(str(server.address) for server in servers)
    argv = ["rollout", "status", f"--status={addresses}", *arguments]
    try:
        return await asyncio.to_thread(main.main, argv)
    finally:
        for server in servers:
            await server.stop()


def page_of(number, **fields):
    status = statuses.WeightsStatus(
        target="2", target_digest=V2.digest, revision=7, total=3, **fields
    )
    return {
        "instance_id": f"agent-{number}",
        "role": "agent",
        "service": "assistent",
        "weights": status.as_json(),
    }


def test_rollout_status_lists_lagging_agents_and_reasons(capsys):
    pages = [
        page_of(1, serving_version="2", state=statuses.State.SERVING, held=3),
        page_of(
            2,
            serving_version="1",
            state=statuses.State.FETCHING,
            reason="chunks_missing",
            held=1,
        ),
        page_of(
            3,
            serving_version="1",
            state=statuses.State.WAITING,
            reason="swap_limit",
            out=2,
            queued_before=4,
        ),
        {"instance_id": "entry-1", "role": "entry"},
    ]
    code = asyncio.run(rollout_status(pages, "--service=assistent"))
    out = capsys.readouterr().out
    assert code == 0
    assert "1 of 3 serve it" in out
    assert "1 of 3 chunks are staged" in out
    assert "2 out of service to load, 4 queued before it" in out


def test_rollout_status_reports_an_incomplete_rollout_by_its_exit_code(capsys):
    pages = [page_of(1, serving_version="1", state=statuses.State.LOADING)]
    waiting = rollout_status(pages, "--service=assistent", "--wait_s=0.01")
    assert asyncio.run(waiting) == 5
    assert "0 of 1 serve '2'" in capsys.readouterr().err


def test_rollout_status_without_any_agent_reports_the_reason(capsys):
    argv = ["rollout", "status", "--service=s", "--status=127.0.0.1:1"]
    assert main.main(argv) == 4
    assert "127.0.0.1:1" in capsys.readouterr().err
