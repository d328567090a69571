"""Configurations that come one after the other: what changed is read anew."""

import json
import random

from adapter import configurations
from adapter import records
import platform_site
import pytest


def config(version, routes):
    """Returns a configuration as operators write it."""
    return json.dumps(
        platform_site.config(version=version, routes=routes)
    ).encode()


def some_routes(count):
    route = platform_site.config()["routes"][0]
    return [
        {**route, "name": f"r{n}", "path_prefix": f"/{n}/"}
        for n in range(count)
    ]


def test_routes_that_did_not_change_are_not_read_again():
    """A change of one route among 1,900 held an entry's loop up for 18 ms.

    All routes come with each change; none of them was known from before.
    """
    decoder = configurations.Decoder()
    routes = some_routes(50)
    former = decoder.decode_configuration(config(1, routes)).routes
    routes[7]["timeout_ms"] = 1_000
    found = decoder.decode_configuration(config(2, routes)).routes
    anew = [n for n in range(50) if found[n] is not former[n]]
    assert anew == [7]
    assert found[7].timeout_s == 1.0


@pytest.mark.parametrize("seed", range(5))
def test_a_configuration_is_the_same_whatever_came_before(seed):
    rng = random.Random(seed)
    decoder = configurations.Decoder()
    routes = some_routes(20)
    for version in range(1, 30):
        rng.shuffle(routes)
        routes[0]["timeout_ms"] = rng.choice([500, 1_000])
        routes[1]["service"] = rng.choice(["a", "b"])
        body = config(version, routes[: rng.randrange(21)])
        found = decoder.decode_record("config", body)
        assert found == records.decode_configuration(body)
        assert len(decoder._routes) <= 20


def test_a_malformed_configuration_leaves_the_former_routes():
    decoder = configurations.Decoder()
    routes = some_routes(5)
    former = decoder.decode_configuration(config(1, routes)).routes
    with pytest.raises(ValueError, match="unknown kind"):
        decoder.decode_configuration(config(2, [{**routes[0], "kind": "odd"}]))
    with pytest.raises(ValueError, match="truncated"):
        decoder.decode_configuration(config(2, routes)[:-9])
    found = decoder.decode_configuration(config(3, routes)).routes
    assert all(a is b for a, b in zip(former, found, strict=True))


def test_other_records_are_read_as_ever():
    decoder = configurations.Decoder()
    body = b'{"model":"m","version":3}'
    found = decoder.decode_record("version/m", body)
    assert found == records.decode_operator_record("version/m", body)
    assert decoder.decode_record("other", b"{}") is None
