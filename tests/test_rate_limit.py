"""Tests the share that each entry takes of a server's rate limit."""

import math
import random

import pytest

from clementinegw.direct import rate_limit

SPAN_S = 4.0
STEP_S = 0.02
PLAY_S = 120.0
WALL_S = 1_790_000_000.0


def allowed(per_s):
    """Returns the most requests allowed in a span by the platform's rule."""
    return 1.5 * per_s * SPAN_S + 5


class Fleet:
    """Entries that send to one server whenever they may."""

    def __init__(self, entries, per_s, seed, skew_s=0.0):
        self.now = 0.0
        self.sent_at = []
        self.positions = [
            rate_limit.Position(n, entries) for n in range(entries)
        ]
        self._rng = random.Random(seed)
        self.skews = [
            self._rng.uniform(-skew_s, skew_s) for _ in self.positions
        ]
        self.limiters = [self._limiter(n) for n in range(entries)]
        for limiter in self.limiters:
            limiter.set_limit(per_s)

    def _limiter(self, number):
        return rate_limit.Limiter(
            "i-1",
            lambda: self.positions[number],
            lambda: WALL_S + self.now + self.skews[number],
        )

    def play(self, until_s, asked_per_s=math.inf):
        """Sends requests up to a time; entries get `asked_per_s` of them."""
        chance = min(1.0, asked_per_s * STEP_S)
        while self.now < until_s:
            for limiter in self.limiters:
                if self._rng.random() < chance and limiter.is_open():
                    assert limiter.take_slot()
                    self.sent_at.append(self.now)
            self.now += STEP_S

    def most_in_span(self):
        ends = self.sent_at
        return max(
            sum(at - SPAN_S < other <= at for other in ends) for at in ends
        )

    def used_share(self, per_s):
        return len(self.sent_at) / (per_s * self.now)


@pytest.mark.parametrize("per_s", [0.2, 1.0, 2.4, 17.0])
@pytest.mark.parametrize("entries", [1, 8, 30, 100])
def test_all_entries_together_keep_the_limit_and_use_it(entries, per_s):
    fleet = Fleet(entries, per_s, seed=entries, skew_s=0.02)
    fleet.play(PLAY_S)
    assert fleet.most_in_span() <= allowed(per_s)
    assert fleet.used_share(per_s) >= 0.95


@pytest.mark.parametrize("entries", [1, 8, 30, 100])
def test_limit_is_kept_while_clocks_jump(entries):
    """A third of the clocks are changed by two seconds and back."""
    fleet = Fleet(entries, 1.0, seed=2)
    skews = fleet.skews
    fleet.play(30.0)
    fleet.skews = [2.0 if n % 3 == 0 else 0.0 for n in range(entries)]
    fleet.play(60.0)
    fleet.skews = [-2.0 if n % 3 == 0 else 0.0 for n in range(entries)]
    fleet.play(90.0)
    fleet.skews = skews
    fleet.play(PLAY_S)
    assert fleet.most_in_span() <= allowed(1.0)


@pytest.mark.parametrize("entries", [8, 30, 100])
def test_limit_is_kept_while_entries_are_added_and_removed(entries):
    """Each change moves the position of every entry, at different times."""
    fleet = Fleet(entries, 1.0, seed=3)
    for change in range(12):
        fleet.play(10.0 * change + 5.0)
        count = entries - change % 3
        for number in range(entries):
            fleet.play(fleet.now + 1.0 / entries)
            fleet.positions[number] = rate_limit.Position(number % count, count)
    assert fleet.most_in_span() <= allowed(1.0)


def test_entries_with_few_requests_use_most_of_the_limit():
    fleet = Fleet(8, 2.0, seed=4)
    fleet.play(PLAY_S, asked_per_s=1.0)
    assert fleet.used_share(2.0) >= 0.7


def test_entries_that_no_agent_told_their_turn_keep_the_limit():
    fleet = Fleet(30, 1.0, seed=5)
    fleet.positions = [
        rate_limit.Position.assumed(f"front-{n}") for n in range(30)
    ]
    fleet.play(PLAY_S)
    assert fleet.most_in_span() <= allowed(1.0)


def test_clock_set_back_permanently_does_not_block_a_server():
    fleet = Fleet(8, 1.0, seed=6)
    fleet.play(20.0)
    fleet.skews = [-3_600.0] * 8
    fleet.sent_at = []
    fleet.play(40.0)
    assert len(fleet.sent_at) >= 10


def test_limit_of_zero_allows_occasional_probes():
    fleet = Fleet(8, 0.0, seed=7)
    fleet.play(PLAY_S)
    # 0.1 requests per second, plus the valid unused slots at the start.
    assert 1 <= len(fleet.sent_at) <= 0.1 * (PLAY_S + 1.5) + 3


def test_ended_limit_has_no_effect():
    fleet = Fleet(1, 1.0, seed=8)
    (limiter,) = fleet.limiters
    while limiter.is_open():
        limiter.take_slot()
    assert limiter.slots_within(0.1) == 0
    limiter.set_limit(None)
    assert limiter.is_open()
    assert limiter.slots_within(0.0) == math.inf
    assert not limiter.take_slot()


def test_upcoming_slots_are_counted():
    fleet = Fleet(4, 2.0, seed=9)
    limiter = fleet.limiters[0]
    while limiter.is_open():
        limiter.take_slot()
    # At two slots per second a round of four entries takes two seconds.
    assert limiter.slots_within(2.0) == 1
    assert limiter.slots_within(4.0) == 2
