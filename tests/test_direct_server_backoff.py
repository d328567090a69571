"""Backend servers that answer 503 and say how long they want nothing."""

import asyncio

import platform_site as sites

# The platform's rule: from so long after the answer, in seconds, to the end of
# the time that it names, a server gets no more than two requests of an entry.
NOTICE_S = 0.5
MOST = 2


def overloaded(retry_after, until):
    """Returns what a server does that rejects requests up to a moment."""

    def do(call):
        if asyncio.get_running_loop().time() >= until:
            call.answer()
            return
        more = ("X-Clementinegw-Not-Executed: 1", f"Retry-After: {retry_after}")
        call.answer(b"", 503, more=more)

    return do


async def keep_asking(site, until_s, path="/safe/1", pause_s=0.02):
    """Asks over and over; returns the answers."""
    clock = asyncio.get_running_loop().time
    end, answers = clock() + until_s, []
    while clock() < end:
        answers.append(await site.ask(path))
        await asyncio.sleep(pause_s)
    return answers


def within(server, began, until):
    """Returns how many requests reached a server within a pause."""
    return sum(began + NOTICE_S < at < until for at in server.arrived_at)


def test_a_server_that_asked_for_a_pause_gets_nothing_until_its_end():
    """Requests went on 0.15 s after each 503, whatever the server asked for."""

    async def play():
        async with sites.Site("i-1", "i-2") as site:
            first, now = site.servers[0], asyncio.get_running_loop().time()
            first.do = overloaded(3, now + 3.0)
            answers = await keep_asking(site, 2.9)
            paused = within(first, first.arrived_at[0], now + 3.0)
            await keep_asking(site, 2.0)
            return answers, paused, first.arrived_at[-1] - now

    answers, paused, last = sites.run(play())
    assert {answer.status for answer in answers} == {200}
    assert paused <= MOST
    assert last > 3.0
