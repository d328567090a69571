"""Tests what a daemon of the direct path does while it starts."""

import gc
import pathlib
import subprocess
import sys

from clementinegw.direct import run

ROOT = pathlib.Path(__file__).resolve().parents[1]


def test_collections_are_on_again_and_skip_what_was_imported():
    gc.disable()
    try:
        run._keep_imported_objects()
        assert gc.isenabled()
        assert gc.get_freeze_count() > 0
    finally:
        gc.unfreeze()
        gc.enable()


def test_no_collection_runs_while_a_daemon_is_imported():
    """Guards against starts that spend a fifth of their time on collections."""
    code = (
        "import gc, runpy, sys\n"
        "collections = []\n"
        "gc.callbacks.append(lambda phase, info: collections.append(phase))\n"
        "gc.disable = lambda disable=gc.disable: (\n"
        "    disable(), collections.clear())\n"
        f"runpy.run_path({str(ROOT / 'platform' / 'main.py')!r})\n"
        "sys.path.insert(0, sys.argv[1])\n"
        "from adapter import roles\n"
        "from clementinegw.direct import entry\n"
        "print(len(collections))\n"
    )
    done = subprocess.run(
        [sys.executable, "-c", code, str(ROOT / "platform")],
        capture_output=True,
        check=True,
        text=True,
    )
    assert done.stdout.strip() == "0"
