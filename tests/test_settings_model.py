"""Tests of the models: errors are one line, and later levels win."""

import json
import pathlib

import pytest

from clementinegw import exceptions
from clementinegw import types
from clementinegw.settings import knobs
from clementinegw.settings import model
from clementinegw.settings import page
from clementinegw.settings import tree

TREE = {
    "schema": 1,
    "defaults": {"limits": {"requests_per_s": 5, "burst_s": 1}},
    "regions": {"noord": {"settings": {"limits": {"burst_s": 3}}}},
    "failure_domains": {
        "hal": {
            "region": "noord",
            "settings": {"limits": {"tokens_per_s": 7}},
        }
    },
    "services": {
        "assistent": {
            "kind": "model_engine",
            "settings": {"limits": {"requests_per_s": 6}},
        }
    },
    "customers": {"werf": {"settings": {"limits": {"requests_per_s": 9}}}},
}
PLACE = types.Place("noord", "hal")
INSTANCE = {
    "instance_id": "e1",
    "role": "entry",
    "place": {"region": "noord", "failure_domain": "hal"},
    "listen": {"http": "127.0.0.1:0", "peer": "127.0.0.1:0"},
    "platform": {
        "log": "http://127.0.0.1:1/",
        "instances": "http://127.0.0.1:2",
        "store": "http://127.0.0.1:3",
        "origin": "http://127.0.0.1:4",
    },
}


@pytest.mark.parametrize(
    ("path", "service", "customer", "value", "level"),
    [
        ("limits.max_queue", "", "", None, ""),
        ("limits.max_concurrent", "", "", 256, tree.BUILT_IN),
        ("limits.burst_s", "", "", 3.0, "regions.noord.settings"),
        ("limits.tokens_per_s", "", "", 7.0, "failure_domains.hal.settings"),
        ("limits.requests_per_s", "", "", 5.0, "defaults"),
        (
            "limits.requests_per_s",
            "assistent",
            "",
            6.0,
            "services.assistent.settings",
        ),
        (
            "limits.requests_per_s",
            "assistent",
            "werf",
            9.0,
            "customers.werf.settings",
        ),
    ],
)
def test_later_level_wins(path, service, customer, value, level):
    parsed = model.parse_tree(TREE)
    if value is None:
        with pytest.raises(exceptions.SettingsError, match="expected one of"):
            tree.explain(parsed, path, PLACE)
        return
    explained = tree.explain(parsed, path, PLACE, service, customer)
    assert (explained.value, explained.level) == (value, level)
    resolver = tree.Resolver(parsed)
    effective = resolver.resolve(PLACE, service, customer)
    assert getattr(effective.limits, path.split(".")[1]) == value
    assert effective == tree.resolve(parsed, PLACE, service, customer)


def test_names_unknown_to_the_tree_share_one_entry():
    resolver = tree.Resolver(model.parse_tree(TREE))
    first = resolver.resolve(PLACE, "", "nobody-1")
    assert resolver.resolve(PLACE, "no-service", "nobody-2") is first


@pytest.mark.parametrize(
    ("data", "parts"),
    [
        (
            {"defaults": {"limits": {"request_per_s": 5}}},
            ("$.defaults.limits.request_per_s", '"requests_per_s"?'),
        ),
        ({"schema": 2}, ("$.schema: expected 1, found 2",)),
        ({"services": {"A.b": {"kind": "plain"}}}, ("$.services.A.b",)),
        ({"services": {"a": {}}}, ("$.services.a.kind", "found none")),
        (
            {"failure_domains": {"hal": {"region": "nord"}}},
            ("$.failure_domains.hal.region", '"nord"'),
        ),
        (
            {"defaults": {"limits": {"requests_per_s": "5"}}},
            ("$.defaults.limits.requests_per_s", "number", '"5"'),
        ),
        ("{nope", ("expected JSON",)),
    ],
)
def test_error_in_the_tree_is_reported_in_one_line(data, parts):
    with pytest.raises(exceptions.SettingsError) as caught:
        model.parse_tree(data)
    assert all(part in caught.value.message for part in parts)
    assert "\n" not in caught.value.message


@pytest.mark.parametrize(
    ("change", "parts"),
    [
        ({"role": "agent"}, ("$.backend", "agent")),
        ({"seeds": ["hal-1:7400"]}, ("$.seeds[0]", "10.0.0.7:7400")),
        (
            {"listen": {"htp": "127.0.0.1:0", "peer": "127.0.0.1:0"}},
            ("$.listen.htp", '"http"?'),
        ),
        ({"place": {"region": "noord"}}, ("$.place.failure_domain",)),
        ({"statsd": "127.0.0.1:99999"}, ("$.statsd", "port")),
    ],
)
def test_error_in_an_instance_file_is_reported_in_one_line(
    tmp_path, change, parts
):
    path = tmp_path / "e1.json"
    path.write_text(json.dumps({**INSTANCE, **change}))
    with pytest.raises(exceptions.SettingsError) as caught:
        model.parse_instance_file(path)
    assert all(part in caught.value.message for part in parts)
    assert str(path) in caught.value.message


def test_instance_file_is_read(tmp_path):
    path = tmp_path / "e1.json"
    path.write_text(
        json.dumps({**INSTANCE, "seeds": ["[::1]:7", "10.0.0.1:8"]})
    )
    parsed = model.parse_instance_file(path)
    assert parsed.seeds == (
        types.Address("::1", 7),
        types.Address("10.0.0.1", 8),
    )
    assert parsed.platform.log == "http://127.0.0.1:1"
    assert parsed.to_place() == PLACE
    with pytest.raises(exceptions.SettingsError, match="cannot be read"):
        model.parse_instance_file(tmp_path / "none.json")


def test_every_knob_has_a_description_and_a_valid_default():
    for group in knobs.GROUPS:
        declared = type(getattr(knobs.Knobs(), group))
        assert declared.__doc__
        declared.model_validate_json(declared().model_dump_json())
        for name, field in declared.model_fields.items():
            assert field.description, f"{group}.{name}"


def test_dump_has_only_the_fields_that_were_set():
    assert model.dump_tree(model.parse_tree(TREE)) == TREE


def test_page_is_up_to_date():
    docs = pathlib.Path(__file__).parents[1] / "docs" / "settings.md"
    assert docs.read_text() == page.render(), (
        "run `python -m clementinegw.settings.page > docs/settings.md`"
    )
