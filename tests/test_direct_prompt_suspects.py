"""Tests how requests are refused for a part of their prompts.

A part of a prompt may crash each server that answers on it, whatever else the
request holds.
"""

import asyncio

import platform_site as sites
import prompt_fleet
import prompt_site
import pytest
import suspects_entry

from clementinegw.direct import part_publication
from clementinegw.direct import part_records
from clementinegw.direct import prompt_suspects
from clementinegw.direct import refusals
from clementinegw.direct import suspects
from clementinegw.direct import suspicion_codec
from clementinegw.wire import codec
from clementinegw.wire.gen.reports import ttypes

# A single entry.


def crash(entry, count, parts, first_at=1.0):
    """Crashes a server each second, with an answer to others between."""
    for number in range(count):
        at = first_at + number
        entry.record_crash(b"%d" % number, f"i-{at}", at, parts)
        entry.record_answer(at + 0.1, ("other",))


def test_a_part_is_refused_after_three_crashes():
    entry = suspects_entry.Entry()
    crash(entry, 2, ("bad",))
    assert not entry.is_refused(b"x", 3.9, parts=("bad",))
    crash(entry, 1, ("bad",), first_at=3.0)
    assert entry.is_refused(b"x", 3.9, parts=("bad",))
    assert not entry.is_refused(b"x", 3.9, parts=("other",))


def test_a_crash_counts_once_its_server_has_stayed_silent():
    entry = suspects_entry.Entry()
    crash(entry, 3, ("bad",))
    assert not entry.is_refused(b"x", 3.7, parts=("bad",))
    assert entry.is_refused(b"x", 3.9, parts=("bad",))


def test_a_part_that_is_answered_between_crashes_is_not_refused():
    """A popular part is in flight at every crash."""
    entry = suspects_entry.Entry()
    for at in range(1, 30):
        crash(entry, 1, ("popular", "bad"), first_at=float(at))
        entry.record_answer(at + 0.2, ("popular",))
    assert entry.is_refused(b"x", 30.0, parts=("bad",))
    assert not entry.is_refused(b"x", 30.0, parts=("popular",))


def test_servers_that_crash_at_one_moment_make_no_part_refused():
    """All servers lost power, with one part in flight at each of them."""
    entry = suspects_entry.Entry()
    for number in range(8):
        entry.record_crash(b"%d" % number, f"i-{number}", 1.0, ("popular",))
    entry.record_answer(5.0, ("other",))
    assert not entry.is_refused(b"x", 6.0, parts=("popular",))


def test_nothing_is_refused_while_nothing_is_answered():
    entry = suspects_entry.Entry()
    for at in range(1, 5):
        entry.record_crash(b"%d" % at, f"i-{at}", float(at), ("part",))
    assert not entry.is_refused(b"x", 6.0, parts=("part",))


def test_a_part_is_refused_after_five_crashes_in_half_a_second():
    """All servers crashed within a moment, and again as each came back.

    Nothing was answered meanwhile that would have told the part from others.
    """
    entry = suspects_entry.Entry()
    for number, at in enumerate((1.0, 1.1, 1.2, 1.3, 1.4)):
        entry.record_crash(b"%d" % number, f"i-{number}", at, ("bad",))
        entry.record_crash(b"%d" % number, f"i-{number}", at, (f"p{number}",))
    assert entry.is_refused(b"x", 2.5, parts=("bad",))


def test_a_part_at_few_of_the_crashes_needs_more_of_them():
    """A rare part was in flight at three of twelve crashes by chance."""
    entry = suspects_entry.Entry()
    for at in range(1, 13):
        parts = ("rare",) if at % 4 == 1 else (f"part {at}",)
        crash(entry, 1, parts, first_at=float(at))
    assert not entry.is_refused(b"x", 14.0, parts=("rare",))
    crash(entry, 2, ("rare",), first_at=13.0)
    assert entry.is_refused(b"x", 15.0, parts=("rare",))


def test_parts_at_the_same_crashes_are_refused_only_together():
    """Nothing told two parts apart, and a sound request had one of them."""
    entry = suspects_entry.Entry()
    crash(entry, 6, ("one", "two"))
    assert entry.is_refused(b"x", 8.0, parts=("one", "two"))
    assert entry.is_refused(b"x", 8.0, parts=("two", "three", "one"))
    assert not entry.is_refused(b"x", 8.0, parts=("one",))
    assert not entry.is_refused(b"x", 8.0, parts=("two", "three"))
    entry.record_answer(8.1, ("one",))
    assert entry.is_refused(b"x", 8.2, parts=("two",))


def test_a_part_at_fewer_of_the_same_crashes_is_no_rival():
    """The two crashes of a sound part were as far apart as all five."""
    entry = suspects_entry.Entry()
    for number, at in enumerate((1.0, 1.1, 1.2, 1.3, 1.4)):
        parts = ("bad", "sound") if number in (0, 4) else ("bad",)
        entry.record_crash(b"%d" % number, f"i-{number}", at, parts)
    entry.record_answer(2.0, ("other",))
    assert entry.is_refused(b"x", 2.5, parts=("bad",))
    assert not entry.is_refused(b"x", 2.5, parts=("sound",))


def test_a_part_whose_crashes_were_reported_further_apart_is_no_rival():
    """Each datagram dated the crashes that it told of by its own delay."""
    entry = suspects_entry.Entry()
    for start, ages_s in ((b"bad", (0.2,) * 5), (b"sound", (0.6, 0.2))):
        part = part_records.digest_part(start.decode())
        crashes = tuple(
            suspects.Crash(b"start %02d" % number, age_s)
            for number, age_s in enumerate(ages_s)
        )
        refusal = refusals.RefusalAges(0.1) if start == b"bad" else None
        report = part_records.PartSuspicion(part, crashes, None, refusal)
        entry.merge([report], 1.0)
    assert entry.is_refused(b"x", 1.5, parts=("bad",))


def test_a_refused_part_stays_refused_though_another_is_at_a_later_crash():
    """A refused part is at no more crashes, so that others get ahead of it."""
    entry = suspects_entry.Entry()
    crash(entry, 1, ("bad",))
    crash(entry, 2, ("bad", "sound"), first_at=2.0)
    assert entry.is_refused(b"x", 4.0, parts=("bad",))
    # Another entry tells late that it was at the first crash too.
    first = suspects.Crash(suspects.digest_start("i-1.0"), 3.0)
    sound = part_records.digest_part("sound")
    entry.merge([part_records.PartSuspicion(sound, (first,))], 4.0)
    crash(entry, 2, ("sound",), first_at=5.0)
    entry.parts.update(entry.clock_s + 7.0)
    assert entry.is_refused(b"x", 7.0, parts=("bad",))


def test_an_answer_from_before_the_first_crash_tells_parts_apart():
    """A popular part was at every crash and not answered since the first."""
    entry = suspects_entry.Entry()
    entry.record_answer(0.5, ("popular", "other"))
    crash(entry, 6, ("bad", "popular"))
    assert entry.is_refused(b"x", 8.0, parts=("bad",))
    assert not entry.is_refused(b"x", 8.0, parts=("popular",))


def test_a_part_that_was_sound_before_is_refused_as_soon_as_others():
    """An answer from before its first crash does not speak for a part."""
    entry = suspects_entry.Entry()
    entry.record_answer(0.5, ("bad", "other"))
    crash(entry, 3, ("bad",))
    assert entry.is_refused(b"x", 3.9, parts=("bad",))


def test_answers_remembered_before_the_first_crash_are_bounded():
    entry = suspects_entry.Entry()
    entry.record_answer(0.1, ("oldest",))
    for number in range(6_000):
        entry.record_answer(0.2, (f"part {number}",))
    entry.record_crash(b"x", "i-1", 1.0, ("bad",))
    assert len(entry.parts._evidence._answered_before) <= 4_096


def test_connections_that_a_running_server_resets_are_no_crashes():
    entry = suspects_entry.Entry()
    for number in range(3):
        at = 1.0 + number
        entry.record_crash(b"x", f"i-{number}", at, ("part",))
        entry.record_answer(at + 0.1, ("other",))
        now = entry.clock_s + at + 0.6
        entry.parts.refute_crashes(f"i-{number}", now - 1.2, now - 0.3, now)
    assert not entry.is_refused(b"y", 6.0, parts=("part",))


def test_a_report_on_the_next_start_does_not_refute_a_crash():
    """A server came back behind its former id, as its agent knew it."""
    entry = suspects_entry.Entry()
    crash(entry, 3, ("bad",))
    now = entry.clock_s + 5.5
    for start in ("i-1.0", "i-2.0", "i-3.0"):
        entry.parts.refute_crashes(start, now - 1.2, now - 0.3, now)
    assert entry.is_refused(b"x", 6.0, parts=("bad",))


def test_a_part_stays_refused_while_requests_with_it_come():
    """A refused part causes no crashes, so that they were all forgotten."""
    entry = suspects_entry.Entry()
    crash(entry, 3, ("bad",))
    for at in range(10, 4_000, 300):
        assert entry.is_refused(b"x", float(at), parts=("bad",))
        entry.parts.record_refusal("bad", entry.clock_s + at)
    assert not entry.is_refused(b"x", 4_600.0, parts=("bad",))


def test_requests_are_let_through_ever_more_rarely():
    entry = suspects_entry.Entry()
    crash(entry, 3, ("bad",))
    taken = []
    for at in range(5, 1_000):
        assert entry.is_refused(b"x", float(at), parts=("bad",))
        entry.parts.record_refusal("bad", entry.clock_s + at)
        if entry.parts.take_probe("bad", entry.clock_s + at):
            taken.append(at)
    assert taken == [23, 143, 863]


def test_a_refused_part_that_is_answered_is_served_again():
    verdicts = []
    tracker = prompt_suspects.PartTracker(verdicts.append)
    for at in (1.0, 2.0, 3.0):
        tracker.record_crash(("part",), f"i-{at}", at, False)
        tracker.record_answer(("other",), at, at)
    assert tracker.refused_part(("part",), 4.0) == "part"
    tracker.record_answer(("part",), 4.5, 4.6)
    assert tracker.refused_part(("part",), 5.0) is None
    assert [(v.refused, v.cause.value) for v in verdicts] == [
        (True, "crashes"),
        (False, "answered"),
    ]


def test_a_part_with_more_crashes_ends_the_refusal_of_another():
    """A sound part was refused before the crashing one was known."""
    entry = suspects_entry.Entry()
    crash(entry, 3, ("sound",))
    assert entry.is_refused(b"x", 4.5, parts=("sound",))
    reports = [
        part_records.PartSuspicion(
            part_records.digest_part("bad"),
            tuple(
                suspects.Crash(suspects.digest_start(f"i-{at}"), 6.0 - at)
                for at in (1.0, 2.0, 3.0, 4.0, 5.0)
            ),
        )
    ]
    entry.merge(reports, 6.0)
    assert entry.is_refused(b"x", 6.1, parts=("bad",))
    assert not entry.is_refused(b"x", 6.1, parts=("sound",))


def test_a_whole_request_is_not_refused_for_crashes_by_a_part():
    """A popular request was running at two servers that a part crashed."""
    entry = suspects_entry.Entry()
    for at in (1.0, 2.0, 3.0):
        entry.record_crash(b"popular", f"i-{at}", at, ())
        entry.record_crash(b"%d" % at, f"i-{at}", at, ("bad",))
        entry.record_answer(at + 0.1, ("other",))
    assert entry.is_refused(b"popular", 3.5)
    assert entry.is_refused(b"x", 4.0, parts=("bad",))
    assert not entry.is_refused(b"popular", 4.0)


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
        entries[5 - number].record_answer(at + 0.2, ("a", "b"))
        exchange(entries, agent, at + 0.9)
    for entry in entries:
        assert entry.is_refused(b"new", 6.0, parts=("a", "bad"))
        assert entry.is_refused(b"new", 6.0, parts=("bad", "b"))
        assert not entry.is_refused(b"new", 6.0, parts=("b",))
        assert not entry.is_refused(b"new", 6.0)


def test_an_entry_that_starts_anew_learns_what_is_refused():
    entries = [suspects_entry.Entry(0.0), suspects_entry.Entry(50.0)]
    agent = suspects_entry.Entry(9_000.0)
    crash(entries[0], 3, ("bad",))
    assert entries[0].is_refused(b"x", 4.0, parts=("bad",))
    for at in range(4, 1_000, 5):
        entries[0].parts.record_refusal("bad", float(at))
        exchange(entries, agent, float(at))
    # All of the fleet is replaced but one entry.
    agent, other = suspects_entry.Entry(7.0), suspects_entry.Entry(3.0)
    entries[0].parts.record_refusal("bad", 1_010.0)
    exchange([entries[0], other], agent, 1_010.0)
    assert other.is_refused(b"x", 1_011.0, parts=("bad",))


def test_an_answer_at_one_entry_clears_a_part_at_all():
    entries = [suspects_entry.Entry(0.0), suspects_entry.Entry(50.0)]
    agent = suspects_entry.Entry(9_000.0)
    crash(entries[0], 3, ("part",))
    assert entries[0].is_refused(b"x", 4.0, parts=("part",))
    exchange(entries, agent, 4.0)
    assert entries[1].is_refused(b"x", 4.4, parts=("part",))
    entries[1].record_answer(5.0, ("part",))
    exchange(entries, agent, 5.1)
    assert not entries[0].is_refused(b"x", 6.0, parts=("part",))
    assert not entries[1].is_refused(b"x", 6.0, parts=("part",))
    exchange(entries, agent, 6.1)
    assert not entries[0].is_refused(b"x", 7.0, parts=("part",))


def test_a_datagram_with_many_parts_stays_small():
    crashes = (suspects.Crash(b"s" * 8, 59.9),) * 6
    largest = part_records.PartSuspicion(
        b"p" * 8, crashes, 59.9, refusals.RefusalAges(9.0, 2, 99.0)
    )
    few = part_records.PartSuspicion(b"p" * 8, crashes[:1])

    def size(*suspicions):
        parts = suspicion_codec.parts_to_wire(suspicions)
        message = ttypes.Subscribe("e", {}, False, part_suspicions=parts)
        data = codec.encode(message)
        decoded = codec.decode(ttypes.Subscribe, data).part_suspicions
        assert suspicion_codec.from_wire(None, decoded) == suspicions
        return len(data)

    assert size(*[few] * part_publication.MAX_SUSPICIONS) < 600
    assert size(*[largest] * part_publication.MAX_SUSPICIONS) < 2_000


@pytest.mark.parametrize(
    "suspicion",
    [
        part_records.PartSuspicion(b"short", (suspects.Crash(b"s" * 8, 1.0),)),
        part_records.PartSuspicion(b"p" * 8, (suspects.Crash(b"s", 1.0),)),
        part_records.PartSuspicion(b"p" * 8, (suspects.Crash(b"s" * 8, -1.0),)),
        part_records.PartSuspicion(b"p" * 8, (), float("nan")),
        part_records.PartSuspicion(
            b"p" * 8, (), 1.0, refusals.RefusalAges(float("inf"))
        ),
        part_records.PartSuspicion(
            b"p" * 8, (), 1.0, refusals.RefusalAges(1.0, -1, 1.0)
        ),
    ],
)
def test_malformed_suspicions_of_parts_are_not_merged(suspicion):
    entry = suspects_entry.Entry()
    entry.merge([suspicion], 1.0)
    assert entry.parts.idle


def test_a_report_of_ever_so_many_probes_ends_no_request():
    entry = suspects_entry.Entry()
    crash(entry, 3, ("bad",))
    assert entry.is_refused(b"x", 4.0, parts=("bad",))
    ages = refusals.RefusalAges(1.0, 2**31 - 1, 1.0)
    part = part_records.digest_part("bad")
    crashes = (suspects.Crash(b"s" * 8, 1.0),)
    entry.merge([part_records.PartSuspicion(part, crashes, None, ages)], 5.0)
    assert not entry.parts.take_probe("bad", entry.clock_s + 1e6)


def test_what_is_remembered_of_parts_is_bounded():
    entry = suspects_entry.Entry()
    crash(entry, 3, ("bad",))
    assert entry.is_refused(b"x", 4.0, parts=("bad",))
    for number in range(6_000):
        at = 5.0 + number / 1e3
        entry.record_crash(b"x", f"j-{number}", at, (f"part {number}",))
    assert len(entry.local_suspicions(12.0)) <= 28
    assert len(entry.parts._records) <= 4_097
    assert entry.is_refused(b"x", 12.0, parts=("bad",))


# A simulated fleet.


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    "load",
    [
        prompt_fleet.Load(bad_per_s=1.5, seconds=30.0),
        prompt_fleet.Load(bad_per_s=1.5, crashes_per_s=0.7, seconds=30.0),
        prompt_fleet.Load(bad_per_s=1.5, begin_s=(1.0, 3.0), seconds=30.0),
        prompt_fleet.Load(bad_per_s=1.0, mass_crash=0.5, seconds=30.0),
        prompt_fleet.Load(bad_per_s=1.5, sound_per_s=5.0, seconds=30.0),
        prompt_fleet.Load(bad_per_s=1.5, bad_was_sound=True, seconds=30.0),
    ],
)
def test_a_fleet_stops_sending_a_part_that_crashes_servers(load, seed):
    fleet = prompt_fleet.Fleet(load, seed).run()
    assert fleet.crashed_at
    assert fleet.late <= prompt_fleet.MAX_LATE
    assert fleet.sound_refused <= 0.01 * fleet.sound


@pytest.mark.parametrize("seed", range(10))
def test_a_drawn_fleet_stops_the_part_and_serves_sound_requests(seed):
    fleet = prompt_fleet.Fleet(prompt_fleet.draw_load(seed), seed).run()
    assert fleet.late <= prompt_fleet.MAX_LATE
    assert fleet.sound_refused <= 0.5 * fleet.sound


@pytest.mark.parametrize(
    "load, seed",
    [
        (prompt_fleet.Load(bad_per_s=1.5, sound_per_s=5.0), 26),
        (prompt_fleet.Load(bad_per_s=1.0, sound_per_s=10.0), 79),
        (
            prompt_fleet.Load(
                bad_per_s=1.5, sound_per_s=20.0, crashes_per_s=0.3
            ),
            18,
        ),
    ],
)
def test_a_fleet_finds_a_part_whose_crashes_were_within_a_second(load, seed):
    """A sound part at some of the crashes passed for as good a cause."""
    fleet = prompt_fleet.Fleet(load, seed).run()
    assert fleet.late <= prompt_fleet.MAX_LATE


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    "load",
    [
        prompt_fleet.Load(crashes_per_s=0.7, seconds=30.0),
        prompt_fleet.Load(crashes_per_s=0.7, begin_s=(1.0, 3.0), seconds=30.0),
        prompt_fleet.Load(mass_crash=1.0, seconds=30.0),
        prompt_fleet.Load(mass_crash=0.5, begin_s=(1.0, 3.0), seconds=30.0),
        prompt_fleet.Load(resets=1.0, seconds=30.0),
    ],
)
def test_a_fleet_whose_servers_crash_for_other_reasons_serves_on(load, seed):
    fleet = prompt_fleet.Fleet(load, seed).run()
    assert fleet.sound_refused <= 0.01 * fleet.sound


# A whole entry.


def report_refused(site, part):
    """Tells the entry that others refuse a part."""
    report = part_records.PartSuspicion(
        part_records.digest_part(part),
        tuple(
            suspects.Crash(b"start %02d" % number, 0.1 * number)
            for number in range(5)
        ),
        None,
        refusals.RefusalAges(0.1),
    )
    site.entry._forwarder.guard.merge((report,))


def test_requests_with_a_part_that_crashes_servers_stop_reaching_them():
    """Requests that no one had sent before crashed one server after another."""

    async def play():
        names = [f"i-{number}" for number in range(12)]
        async with prompt_site.Site(*names) as site:
            for number in range(12):
                await prompt_site.ask(site, 2 * number, "bad")
                await prompt_site.ask(site, 2 * number + 1, "b")
                await asyncio.sleep(0.5)
            count = prompt_site.reached(site, "bad")
            return (
                count,
                await prompt_site.ask(site, 99, "bad"),
                await prompt_site.ask(site, 98, "b"),
            )

    count, refused, sound = sites.run(play())
    assert refused.status == 503
    assert b"crashes_servers" in refused.body
    assert sound.status == 200
    assert count <= 8


def test_one_request_is_let_through_after_a_while():
    """A part that was refused by mistake could never prove itself sound."""

    async def play():
        names = [f"i-{number}" for number in range(24)]
        async with prompt_site.Site(*names) as site:
            site.entry._forwarder.guard.record_rank(0)
            counts = []
            for number in range(100):
                await prompt_site.ask(site, 2 * number, "bad")
                await prompt_site.ask(site, 2 * number + 1, "b")
                counts.append(prompt_site.reached(site, "bad"))
                await asyncio.sleep(0.5)
            # What crashed servers until now is mended.
            for server in site.servers:
                server.on_call = prompt_site.stream
            await asyncio.sleep(120.0)
            probe = await prompt_site.ask(site, 500, "bad")
            return counts, probe, await prompt_site.ask(site, 501, "bad")

    counts, probe, after = sites.run(play())
    assert counts[-1] - counts[20] == 1
    assert (probe.status, after.status) == (200, 200)


def test_entries_that_hear_no_agent_let_nothing_through():
    """All servers were down for a while, and each entry took itself for one.

    When they were back, each let a request through that crashed one again.
    """

    async def play():
        names = [f"i-{number}" for number in range(24)]
        async with prompt_site.Site(*names) as site:
            for number in range(100):
                await prompt_site.ask(site, 2 * number, "bad")
                await prompt_site.ask(site, 2 * number + 1, "b")
                await asyncio.sleep(0.5)
                if number == 20:
                    known = prompt_site.reached(site, "bad")
            return prompt_site.reached(site, "bad") - known

    assert sites.run(play()) == 0


def test_a_request_that_waits_is_refused_once_its_part_is_known():
    """It waited for a server, only to crash it."""

    async def hold(call):
        await asyncio.sleep(2.0)
        prompt_site.crash_on_part(call)

    async def play():
        async with prompt_site.Site("i-1", on_call=hold) as site:
            record = site.servers[0].record(slots=1, sequence=2)
            site.store.put("keyed.servers", "i-1", record)
            await asyncio.sleep(1.0)
            filling = [
                asyncio.ensure_future(prompt_site.ask(site, number, "b"))
                for number in range(6)
            ]
            await asyncio.sleep(0.1)
            waiting = asyncio.ensure_future(prompt_site.ask(site, 50, "bad"))
            await asyncio.sleep(0.1)
            began_at = asyncio.get_running_loop().time()
            report_refused(site, "bad")
            answer = await waiting
            waited_s = asyncio.get_running_loop().time() - began_at
            await asyncio.gather(*filling)
            return answer, waited_s, prompt_site.reached(site, "bad")

    answer, waited_s, count = sites.run(play())
    assert (answer.status, count) == (503, 0)
    assert b"crashes_servers" in answer.body
    assert waited_s < 0.5


def test_a_stream_that_was_begun_goes_on_though_its_part_is_refused():
    """Its server broke it off, and others suspected a part of its prompt."""

    async def break_off(call):
        call.begin_stream()
        first = int(call.headers.get("last-event-id", 0))
        for number in (first + 1, first + 2):
            call.event(number)
        await asyncio.sleep(0.9)
        if first:
            call.end_stream()
        else:
            call.reset()

    async def play():
        async with prompt_site.Site("i-1", "i-2", on_call=break_off) as site:
            asked = asyncio.ensure_future(prompt_site.ask(site, 1, "b"))
            await asyncio.sleep(0.7)
            report_refused(site, "b")
            return await asked

    answer = sites.run(play())
    assert answer.complete
    assert b"id: 4\n" in answer.body
