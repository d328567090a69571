"""Tests how long ago the kernel says that the process was started."""

import pathlib
import subprocess
import sys

import pytest

from clementinegw import process_age

FIELDS = "S 1 1 1 0 -1 0 0 0 0 0 0 0 0 0 20 0 1 0 {ticks} 0"


def age_s(tmp_path, text, boot_time_s):
    path = tmp_path / "stat"
    path.write_text(text)
    return process_age.age_s(boot_time_s, path)


@pytest.mark.parametrize("name", ["python3", "a) b", ""])
def test_age_is_read_whatever_the_program_is_called(tmp_path, name):
    text = f"7 ({name}) " + FIELDS.format(ticks=12_345)
    assert age_s(tmp_path, text, 125.0) == pytest.approx(1.55)


@pytest.mark.parametrize("text", ["", "7 (x) S 1", "7 (x) " + "x " * 30])
def test_age_is_the_typical_one_if_it_cannot_be_read(tmp_path, text):
    typical_s = process_age.TYPICAL_START_S
    assert age_s(tmp_path, text, 125.0) == typical_s
    missing = pathlib.Path("/nonexistent/stat")
    assert process_age.age_s(125.0, missing) == typical_s


@pytest.mark.parametrize("boot_time_s", [100.0, 1_000.0])
def test_age_by_another_clock_is_not_used(tmp_path, boot_time_s):
    text = "7 (x) " + FIELDS.format(ticks=12_345)
    assert age_s(tmp_path, text, boot_time_s) == process_age.TYPICAL_START_S


def test_age_includes_the_time_before_our_code_runs():
    """Guards against counting from the first line that a slow process runs."""
    code = (
        "import time; time.sleep(0.7)\n"
        "from clementinegw import process_age\n"
        "from clementinegw.direct import topic_watch\n"
        "print(process_age.age_s(topic_watch.boot_time()))"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, check=True, text=True
    )
    assert 0.7 <= float(done.stdout) < 30.0
