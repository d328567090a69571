"""Tests for the catalogue of events and the page generated from it."""

import pathlib

from clementinegw.telemetry import catalogue

DOCS = pathlib.Path(__file__).parent.parent / "docs"


def test_events_page_is_up_to_date():
    """Guards against an event missing from the page.

    This happens if an event is added to the code and the page is not generated
    again.
    """
    assert (DOCS / "events.md").read_text() == catalogue.page()


def test_event_names_are_unique():
    names = [event.name for event in catalogue.load_all()]
    assert len(names) == len(set(names))
