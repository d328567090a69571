"""Tests that an instance file which cannot be used ends nothing."""

import asyncio
import json

import pytest

from clementinegw.direct import run as runner
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs
from clementinegw.testing import clock as clocks


def _instance(**fields):
    return {
        "name": "entry-1",
        "place": {"region": "r1", "failure_domain": "d1"},
        "host": "127.0.0.1",
        "store_address": "127.0.0.1:9",
        "regions": {"d1": "r1"},
        "peer_ports": [0, 0],
        **fields,
    }


class _Reloading:
    """A daemon that reloads, and raises for instances of a name.

    Attributes:
      names: The names of all instances that were applied.
    """

    def __init__(self, odd="odd"):
        self._odd = odd
        self.names = []

    def reload(self, instance):
        if instance.name == self._odd:
            raise KeyError("odd")
        self.names.append(instance.name)


@pytest.mark.parametrize(
    "content",
    [b"", b"\xff\xfe", b'{"x": ' + b"[" * 100_000, None, b'{"name": 1}', "odd"],
    ids=["empty", "bytes", "nested", "missing", "type", "not applicable"],
)
def test_the_instance_file_is_watched_after_it_was_invalid(content, tmp_path):
    """Guards against a process that ignores the file after an error."""
    path = tmp_path / "instance.json"
    path.write_text(json.dumps(_instance()))

    async def scenario():
        daemon = _Reloading()
        counters = counters_lib.Counters()
        watcher = runner._InstanceFileWatcher(
            path, runner.instances.read(path), daemon, logs.Log(), counters
        )
        watching = asyncio.ensure_future(watcher.watch())
        if content is None:
            path.unlink()
        elif content == "odd":
            path.write_text(json.dumps(_instance(name="odd")))
        else:
            path.write_bytes(content)
        await asyncio.sleep(10.0)
        applied = list(daemon.names)
        refused = counters.value("direct.settings_refused")
        path.write_text(json.dumps(_instance(name="later")))
        await asyncio.sleep(4.0)
        assert not watching.done()
        watching.cancel()
        return applied, refused, daemon.names[-1:]

    applied, refused, last = clocks.run(scenario())
    # The previous instance stays in force, whatever was applied of the other.
    assert set(applied) <= {"entry-1"}
    assert refused == 1
    assert last == ["later"]
