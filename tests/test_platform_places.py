"""Tests for decoding where requests may be served, and evacuations."""

import json

from adapter import configurations
from adapter import records
import platform_site as sites
import pytest

from clementinegw.direct import types

UNREADABLE = ["5", '"r1"', "true", '{"r1": 1}', "1e999", "[5]", "[null, [[]]]"]
_PLACEHOLDER = "@regions"


def decode(route='["r1"]', tenant='["r1"]'):
    """Returns a configuration with two values of `allowed_regions` in JSON."""
    config = sites.config()
    config["routes"][0]["allowed_regions"] = f"{_PLACEHOLDER}-route"
    config["tenants"][0]["allowed_regions"] = f"{_PLACEHOLDER}-tenant"
    text = json.dumps(config)
    text = text.replace(f'"{_PLACEHOLDER}-route"', route)
    text = text.replace(f'"{_PLACEHOLDER}-tenant"', tenant)
    first = records.decode_operator_record("config", text.encode())
    again = configurations.Decoder().decode_record("config", text.encode())
    assert first == again
    return first


def test_regions_of_routes_and_customers():
    config = decode('["r1", "r2"]', '["r2"]')
    assert config.routes[0].regions == {"r1", "r2"}
    assert config.routes[1].regions is None
    assert config.customers[sites.KEY].regions == {"r2"}
    assert config.adjusted == ()


def test_a_configuration_without_regions_restricts_nothing():
    config = records.decode_configuration(json.dumps(sites.config()).encode())
    assert all(route.regions is None for route in config.routes)
    assert config.customers[sites.KEY].regions is None
    assert config.adjusted == ()


@pytest.mark.parametrize("value", ["null", "[]"])
def test_an_empty_list_restricts_nothing(value):
    config = decode(value, value)
    assert config.routes[0].regions is None
    assert config.customers[sites.KEY].regions is None
    assert config.adjusted == ()


@pytest.mark.parametrize("value", UNREADABLE)
def test_unreadable_regions_allow_none_and_keep_the_rest(value):
    """A malformed list lifts a restriction or loses a revoked key."""
    config = decode(value, value)
    assert config.routes[0].regions == frozenset()
    assert config.customers[sites.KEY].regions == frozenset()
    assert len(config.routes) == 3 and len(config.adjusted) == 2
    assert all("no region" in text for text in config.adjusted)


def test_the_readable_part_of_a_list_binds():
    """A number among the names lifts the restriction."""
    config = decode('["r1", 5]')
    assert config.routes[0].regions == {"r1"}
    assert len(config.adjusted) == 1 and "r1" in config.adjusted[0]


@pytest.mark.parametrize("value", [b"{}", b"", b"\xff", b"[[", b'{"zone": 5}'])
def test_an_evacuation_does_not_depend_on_its_value(value):
    """An evacuation with an odd value is ignored."""
    decoder = configurations.Decoder()
    for decode_record in (
        records.decode_operator_record,
        decoder.decode_record,
    ):
        decoded = decode_record("evacuate/d1", value)
        assert decoded == types.Evacuation("d1")
