"""Servers that start again under their former id: nothing of before holds."""

import math
import random

from clementinegw import types as places
from clementinegw.direct import fleet
from clementinegw.direct import follow
from clementinegw.direct import reports
from clementinegw.direct import types
from clementinegw.telemetry import logs

HOST = "127.0.0.1"
HELD = (types.Held("m", 2, 4),)


def server(born, **fields):
    values = {
        "service": "engine",
        "address": places.Address(HOST, 9),
        "failure_domain": "d1",
        "slots": 16,
        "sequence": 1,
    }
    return types.Server(server_id="a", born=born, **{**values, **fields})


def listed(backends, *servers):
    records = tuple(follow.Record(s.server_id, s) for s in servers)
    backends.apply(follow.Batch(records, len(records)), False, 60.0)
    return backends.find(servers[-1].server_id)


def new_fleet():
    return fleet.Fleet(logs.Log(), lambda service: 64, random.Random(1))


def report(**fields):
    values = {"server_id": "a", "running": 16, "waiting": 4, "slots": 16}
    return reports.Report(**{**values, **fields})


def learn(backend):
    """Learns all that may be learned of a start."""
    told = report(
        version=2,
        whole=True,
        loading=True,
        pace=3.0,
        yielding=True,
        entries=4,
        ready_in_s=2.0,
    )
    backend.take_report(told, 10.0)
    backend.take()
    backend.unread_tokens += 700
    backend.unreachable(10.0)
    backend.heard_at = 10.0
    backend.full_until = math.inf
    backend.empty = True
    backend.replaced = True
    backend.missing = True
    backend.missing_until = 11.0


def beliefs(backend):
    apart = ("server", "pool", "_rng")
    return {k: v for k, v in vars(backend).items() if k not in apart}


def test_nothing_learned_of_one_start_speaks_of_the_next():
    """A server that had just started was passed over, or sent what it lacks.

    It crashed and came back at once under its id and its address. The entry
    went on with what it knew of the start before: doubts, a rest, the version
    it had told of, requests under way, that it was about to be given up.
    """
    backends = new_fleet()
    former = listed(backends, server(1, held=HELD, sequence=40))
    learn(former)
    present = listed(backends, server(2))
    fresh = listed(new_fleet(), server(2))
    assert beliefs(present) == beliefs(fresh)
    assert present.held(4) == 0
    assert present.pool is not former.pool
