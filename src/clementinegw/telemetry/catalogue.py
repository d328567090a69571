"""Generates docs/events.md from the catalogue of events.

`python -m clementinegw.telemetry.catalogue` prints the page; a test compares it
with the committed page.
"""

import importlib
import pkgutil

import clementinegw
from clementinegw.telemetry import events

_EVENT_MODULES = ("_events", "_claim_events", "_swarm_events")
_PAGE_HEADER = """# Events

Every line in the logs carries the number of its event. This page is written by
`make pages` from the catalogue in the code; do not edit it.

| number | event | level | meaning | what to do |
|---|---|---|---|---|
"""


def load_all() -> list[events.Event]:
    """Imports every module that defines events and returns the catalogue."""
    prefix = f"{clementinegw.__name__}."
    for module in pkgutil.walk_packages(clementinegw.__path__, prefix):
        if module.name.rpartition(".")[2] in _EVENT_MODULES:
            importlib.import_module(module.name)
    return events.catalogue()


def page() -> str:
    """Returns the text of docs/events.md."""
    rows = [
        f"| {e.number} | `{e.name}` | {e.level.value} | {e.meaning} "
        f"| {e.action or 'nothing'} |\n"
        for e in load_all()
    ]
    return _PAGE_HEADER + "".join(rows)


if __name__ == "__main__":
    print(page(), end="")
