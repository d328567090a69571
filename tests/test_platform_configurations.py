"""Tests for decoding successive configurations with reuse of routes."""

import json
import random

from adapter import configurations
from adapter import records
import platform_site
import pytest


def config(version, routes):
    """Returns a configuration in the operators' format."""
    return json.dumps(
        platform_site.config(version=version, routes=routes)
    ).encode()


def some_routes(count):
    route = platform_site.config()["routes"][0]
    return [
        {**route, "name": f"r{n}", "path_prefix": f"/{n}/"}
        for n in range(count)
    ]


def test_unchanged_routes_are_not_decoded_again():
    """Guards against blocking an entry's event loop for 18 ms.

    A change of one route among 1,900 contains all of them; decoding them all
    again took that long.
    """
    decoder = configurations.Decoder()
    routes = some_routes(50)
    previous = decoder.decode_configuration(config(1, routes)).routes
    routes[7]["timeout_ms"] = 1_000
    decoded = decoder.decode_configuration(config(2, routes)).routes
    redecoded = [n for n in range(50) if decoded[n] is not previous[n]]
    assert redecoded == [7]
    assert decoded[7].timeout_s == 1.0


@pytest.mark.parametrize("seed", range(5))
def test_a_configuration_does_not_depend_on_earlier_ones(seed):
    rng = random.Random(seed)
    decoder = configurations.Decoder()
    routes = some_routes(20)
    for version in range(1, 30):
        rng.shuffle(routes)
        routes[0]["timeout_ms"] = rng.choice([500, 1_000])
        routes[1]["service"] = rng.choice(["a", "b"])
        body = config(version, routes[: rng.randrange(21)])
        decoded = decoder.decode_record("config", body)
        assert decoded == records.decode_configuration(body)
        assert len(decoder._routes) <= 20


def test_a_malformed_configuration_keeps_the_previous_routes():
    decoder = configurations.Decoder()
    routes = some_routes(5)
    previous = decoder.decode_configuration(config(1, routes)).routes
    with pytest.raises(ValueError, match="unknown kind"):
        decoder.decode_configuration(config(2, [{**routes[0], "kind": "odd"}]))
    with pytest.raises(ValueError, match="truncated"):
        decoder.decode_configuration(config(2, routes)[:-9])
    decoded = decoder.decode_configuration(config(3, routes)).routes
    assert all(a is b for a, b in zip(previous, decoded, strict=True))


def test_other_records_are_decoded_as_without_reuse():
    decoder = configurations.Decoder()
    body = b'{"model":"m","version":3}'
    decoded = decoder.decode_record("version/m", body)
    assert decoded == records.decode_operator_record("version/m", body)
    assert decoder.decode_record("other", b"{}") is None
