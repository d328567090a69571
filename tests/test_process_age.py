"""Tests how long ago the kernel says that the process was started."""

import subprocess
import sys

import pytest

from clementinegw import process_age

FIELDS = "S 1 1 1 0 -1 0 0 0 0 0 0 0 0 0 20 0 1 0 {ticks} 0"


def age_s(tmp_path, stat, boot_time_s, uptime="125.0 900.0"):
    (tmp_path / "self").mkdir()
    (tmp_path / "self/stat").write_text(stat)
    (tmp_path / "uptime").write_text(uptime)
    return process_age.age_s(boot_time_s, tmp_path)


@pytest.mark.parametrize("name", ["python3", "a) b", ""])
def test_age_is_read_whatever_the_program_is_called(tmp_path, name):
    stat = f"7 ({name}) " + FIELDS.format(ticks=12_345)
    assert age_s(tmp_path, stat, 125.0) == pytest.approx(1.55)


@pytest.mark.parametrize("stat", ["", "7 (x) S 1", "7 (x) " + "x " * 30])
def test_age_is_the_typical_one_if_it_cannot_be_read(tmp_path, stat):
    typical_s = process_age.TYPICAL_START_S
    assert age_s(tmp_path, stat, 125.0) == typical_s
    assert process_age.age_s(125.0, tmp_path / "missing") == typical_s


@pytest.mark.parametrize("uptime", ["105.0 900.0", "145.0 900.0", "", "x"])
def test_age_by_another_clock_is_not_used(tmp_path, uptime):
    """Guards against deadlines that apply to a process right at its start."""
    stat = "7 (x) " + FIELDS.format(ticks=10_500)
    typical_s = process_age.TYPICAL_START_S
    assert age_s(tmp_path, stat, 125.0, uptime) == typical_s


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
