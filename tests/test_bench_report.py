"""Tests of the page of plots: its requirements and its contents."""

import importlib

import pytest

from clementinegw import exceptions
from clementinegw.bench import report
from clementinegw.commands import main


def test_missing_matplotlib_is_a_usage_error_that_names_the_extra(
    monkeypatch, capsys
):
    import_module = importlib.import_module

    def import_without_matplotlib(name, package=None):
        if name == "matplotlib":
            raise ImportError(name)
        return import_module(name, package)

    monkeypatch.setattr(importlib, "import_module", import_without_matplotlib)
    code = main.main(["bench", "report"])
    assert code == exceptions.UsageError.exit_code
    assert "clementinegw[report]" in capsys.readouterr().err


def test_page_names_each_plot_and_escapes():
    line = report.Line("swarm", (1.0,), (2.0,))
    plot = report.Plot("Time < bound", "n", "s", (line,), "bench x & y")
    page = report._page([(plot, "AAAA")])
    assert "<h2>Time &lt; bound</h2>" in page
    assert "data:image/png;base64,AAAA" in page
    assert "bench x &amp; y" in page


def test_values_that_are_not_numbers_are_rejected():
    with pytest.raises(exceptions.UsageError, match="--loads"):
        report._numbers("loads", ["0.5", "much"])
