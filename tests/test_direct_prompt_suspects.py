"""Tests how requests are refused for a part of their prompts.

A part of a prompt may crash each server that answers on it, whatever else the
request holds.
"""

import asyncio

import platform_site as sites
import suspects_entry

# Several entries and an agent that relays what they observed.


def exchange(entries, agent, at):
    """Passes what entries observed through an agent to all of them."""
    for entry in entries:
        agent.merge(entry.local_suspicions(at), at + 0.1)
    for entry in entries:
        entry.merge(agent.confirmed_suspicions(at + 0.2), at + 0.3)


def test_a_part_that_crashes_servers_is_refused_at_every_entry():
    """Requests with one part in common crashed a server each, at any entry."""
    entries = [suspects_entry.Entry(100.0 * number) for number in range(6)]
    agent = suspects_entry.Entry(9_000.0)
    for number in range(5):
        at = 1.0 + 0.5 * number
        entry = entries[number]
        entry.record_crash(b"%d" % number, f"i-{number}", at, ("a", "bad"))
        entry.record_crash(b"x%d" % number, f"i-{number}", at, ("a", "b"))
        exchange(entries, agent, at + 0.1)
    for entry in entries:
        assert entry.is_refused(b"new", 6.0, parts=("a", "bad"))
        assert entry.is_refused(b"new", 6.0, parts=("bad", "b"))
        assert not entry.is_refused(b"new", 6.0, parts=("b",))
        assert not entry.is_refused(b"new", 6.0)


# A whole entry.


def test_requests_with_a_part_that_crashes_servers_stop_reaching_them():
    """Requests that no one had sent before crashed one server after another."""

    def crash_on_part(call):
        if "bad:" in call.headers["x-clementinegw-prompt-prefix"]:
            call.reset()
        else:
            call.begin_stream()
            call.event(1)
            call.event(2)
            call.end_stream()

    async def ask(site, number, part):
        prompt = f"X-Clementinegw-Prompt-Prefix: a:9,{part}:9,c{number}:9"
        return await site.ask(
            f"/stream/{number}", body=b"%d" % number, headers=(prompt,)
        )

    async def play():
        names = [f"i-{number}" for number in range(12)]
        async with sites.Site(*names, on_call=crash_on_part) as site:
            for number in range(12):
                await ask(site, 2 * number, "bad")
                await ask(site, 2 * number + 1, "b")
                await asyncio.sleep(0.5)
            reached = sum(
                "bad:" in call.headers["x-clementinegw-prompt-prefix"]
                for server in site.servers
                for call in server.calls
            )
            return reached, await ask(site, 99, "bad"), await ask(site, 98, "b")

    reached, refused, sound = sites.run(play())
    assert refused.status == 503
    assert b"crashes_servers" in refused.body
    assert sound.status == 200
    assert reached <= 8
