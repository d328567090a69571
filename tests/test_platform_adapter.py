"""Tests for the adapter, the only code that knows the platform's names."""

import json
import pathlib
import re
import subprocess
import sys

from adapter import headers
from adapter import pages
from adapter import records
import pytest

from clementinegw.direct import client
from clementinegw.direct import expiry
from clementinegw.direct import instance as instances
from clementinegw.direct import types

ROOT = pathlib.Path(__file__).resolve().parent.parent
NAMES = re.compile(
    rb"x-clementinegw|keyed\.(op|servers|status)|/log-(append|read|newest|join"
    rb"|commit|owners|trim)|/stage-(put|get)|path_prefix|target_latency_ms"
    rb"|allow_anonymous|switch_mode|cold_remaining_ms"
    rb"|kv_token_bytes|CLEMENTINEGW_NODE_FILE",
    re.IGNORECASE,
)


def test_no_name_of_the_platform_is_used_outside_the_adapter():
    paths = [
        str(path)
        for path in (ROOT / "src").rglob("*")
        if path.suffix in (".py", ".thrift") and NAMES.search(path.read_bytes())
    ]
    assert paths == []


def test_the_folder_does_not_hide_the_standard_module():
    """Guards against an import of the folder instead of the standard module.

    The folder has the name of the standard module `platform`, and the root of
    the repository may come first on the import path.
    """
    code = (
        "import sys; sys.path.insert(0, '.'); import platform; "
        "print(platform.system())"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True
    )
    assert done.stdout.strip() == "Linux", done.stderr
    assert not (ROOT / "platform" / "__init__.py").exists()


@pytest.mark.parametrize("role", ["entry", "agent"])
def test_a_role_without_its_file_ends_with_a_clear_error(role, tmp_path):
    missing = tmp_path / "none.json"
    done = subprocess.run(
        [sys.executable, str(ROOT / "platform" / "main.py"), role],
        cwd=ROOT,
        capture_output=True,
        text=True,
        env={"CLEMENTINEGW_NODE_FILE": str(missing)},
    )
    assert done.returncode == 3
    assert str(missing) in done.stdout


def test_the_template_names_what_the_instance_file_needs():
    text = (ROOT / "deploy" / "instance.json").read_text()
    filled = re.sub(r"\{\{[a-z_.]+\|json\}\}", "null", text)
    names = set(json.loads(filled))
    assert names == set(instances._File.__struct_fields__)
    bounds = set(json.loads(filled)["bounds"])
    assert bounds == set(instances.Bounds.__struct_fields__)


# Headers.


def facts(**fields):
    raw = [(k.encode(), v.encode()) for k, v in fields.items()]
    return headers.Headers().request_metadata(raw)


def test_a_request_is_decoded():
    metadata = headers.Headers().request_metadata(
        [
            (b"X-Clementinegw-Attempt-Id", b"abc"),
            (b"X-Clementinegw-Deadline-Ms", b"1500"),
            (b"x-clementinegw-token-usage", b"1460,80"),
            (b"X-Clementinegw-Prompt-Prefix", b"5c:800,91:410,e4:250"),
            (b"Authorization", b"Token secret"),
            (b"Last-Event-Id", b"12"),
        ]
    )
    assert metadata == types.RequestMetadata(
        "abc", 1.5, "secret", "", 1460, 80, ("5c", "91"), "12"
    )


@pytest.mark.parametrize(
    ("text", "parts"),
    [
        ("", ()),
        ("5c:800", ()),
        ("5c:800,e4:250", ("5c",)),
        (" 5C:800 , 5c:10,,:3,91,e4:250", ("5c", "91")),
    ],
)
def test_the_shared_parts_of_a_prompt_are_decoded(text, parts):
    raw = [(b"X-Clementinegw-Prompt-Prefix", text.encode())]
    assert headers.Headers().request_metadata(raw).shared_parts == parts


@pytest.mark.parametrize("text", ["-1", "1.5", "", "1e3", "9" * 40, "²"])
def test_a_deadline_that_is_not_a_number_is_malformed(text):
    raw = [(b"X-Clementinegw-Deadline-Ms", text.encode())]
    with pytest.raises(ValueError, match="whole number"):
        headers.Headers().request_metadata(raw)


@pytest.mark.parametrize(
    ("text", "load"),
    [
        ("3,0,8", types.Load(3, 0, 8)),
        ("3,0", None),
        ("a,b,c", None),
        ("", None),
    ],
)
def test_a_malformed_load_is_ignored(text, load):
    head = client.Head(200, ((b"x-clementinegw-server-load", text.encode()),))
    assert headers.Headers().answer_metadata(head).load == load


@pytest.mark.parametrize(
    ("text", "load", "malformed"),
    [
        ("3,0,8,250", types.Load(3, 0, 8, 2.5), set()),
        ("3, 0, 8, 87", types.Load(3, 0, 8, 0.87), set()),
        ("3,0,8,112.5", types.Load(3, 0, 8, 1.125), set()),
        ("3,0,8", types.Load(3, 0, 8), set()),
        ("3,0,8,100,7", types.Load(3, 0, 8, 1.0), set()),
        *(
            (f"3,0,8,{figure}", types.Load(3, 0, 8), {"pace"})
            for figure in ("", "x", "0", "-100", "nan", "inf", "1e2", "9" * 30)
        ),
        ("3,0,8,10001", types.Load(3, 0, 8), {"pace"}),
        ("3,x,8,100", None, {"load"}),
        ("3,0", None, {"load"}),
        ("", None, {"load"}),
        (None, None, set()),
    ],
)
def test_a_malformed_pace_leaves_the_other_figures(text, load, malformed):
    """Guards against servers whose load is unknown due to a fourth figure."""
    fields = (
        ()
        if text is None
        else ((b"x-clementinegw-server-load", text.encode()),)
    )
    metadata = headers.Headers().answer_metadata(client.Head(200, fields))
    assert (metadata.load, metadata.malformed) == (load, malformed)


def test_headers_of_one_connection_are_not_passed_on():
    raw = [
        (b"Connection", b"close, X-Private"),
        (b"X-Private", b"1"),
        (b"TE", b"trailers"),
        (b"X-Kept", b"2"),
    ]
    sent = headers.Headers().to_server_headers(
        raw, types.ForwardMetadata("i-1", expiry.Expiry(1.0, lambda: 0.0))
    )
    names = {name.lower() for name, _ in sent}
    assert b"x-kept" in names
    assert not names & {b"connection", b"x-private", b"te"}


# Records.


def config(**fields):
    return json.dumps(
        {"version": 7, "routes": [], "services": [], **fields}
    ).encode()


ROUTE = {
    "name": "r",
    "host": "H.example",
    "path_prefix": "/a/",
    "kind": "streaming",
    "timeout_ms": 6000,
    "target_latency_ms": 405,
}


def test_a_route_may_be_split_between_services():
    split = [
        {"service": "a", "weight": 90},
        {"service": "b", "weight": 10},
    ]
    body = config(routes=[{**ROUTE, "backends": split, "unknown": 1}])
    decoded = records.decode_configuration(body).routes[0]
    assert decoded.targets == (types.Target("a", 90), types.Target("b", 10))
    assert (decoded.host, decoded.timeout_s) == ("h.example", 6.0)


@pytest.mark.parametrize(
    ("fields", "lag_s"), [({}, 0.0), ({"report_lag_ms": 200.0}, 0.2)]
)
def test_the_age_of_an_engines_reports_is_read(fields, lag_s):
    engine = {"slots": 8, "step_ms": 10, "read_per_s": 1e3, **fields}
    body = config(services=[{"name": "e", "engine": engine}])
    service = records.decode_configuration(body).services["e"]
    assert service.engine.report_lag_s == lag_s


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{}",
        b"[]",
        config(routes=[{**ROUTE, "kind": "odd", "service": "a"}]),
        config(routes=[ROUTE]),
        config(services=[{"name": "o", "origin": "nowhere"}]),
    ],
)
def test_a_malformed_configuration_is_refused(body):
    with pytest.raises(ValueError):
        records.decode_configuration(body)


@pytest.mark.parametrize(
    ("layers", "complete"),
    [
        ([{"from": 0, "target": 16, "version": 2}], True),
        ([{"from": 0, "target": 8, "version": 2}], False),
        (
            [
                {"from": 8, "target": 16, "version": 2},
                {"from": 0, "target": 8, "version": 2},
            ],
            True,
        ),
        (
            [
                {"from": 0, "target": 8, "version": 2},
                {"from": 8, "target": 16, "version": 1},
            ],
            False,
        ),
        ([{"from": 0, "target": 0, "version": 2}], False),
    ],
)
def test_a_server_has_a_version_only_with_all_of_its_layers(layers, complete):
    """Guards against requests to a server that lacks layers and refuses them.

    A server may have loaded only some layers, or layers of two versions.
    """
    entry = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z",
        "slots": 16,
        "state": "ready",
        "sequence": 1,
        "models": [{"name": "m", "version": 2, "adapters": []}],
        "layers": layers,
    }
    server = records.decode_server_record("i-1", json.dumps(entry).encode())
    assert server.version(16) == (2 if complete else 0)


@pytest.mark.parametrize("cut", range(1, 30))
def test_a_truncated_log_answer_is_refused(cut):
    content = b"\x01kvalue"
    body = bytes(16) + len(content).to_bytes(4, "big") + content
    assert pages.parse_log_records(body)[0] == [("k", b"value")]
    if cut < len(body) - 16 or len(body) - cut < 16:
        with pytest.raises(ValueError, match="log"):
            pages.parse_log_records(body[:-cut])
