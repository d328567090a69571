"""From the parse tree to data classes."""

import json
from typing import Any

import lark

from clementinegw import types as shared
from clementinegw.scenario import types

_SECONDS = {"ms": 0.001, "s": 1.0, "min": 60.0}
_DEFAULT_TITLE = ""
_DEFAULT_SEED = 1
_DEFAULT_DURATION_S = 30.0
_KINDS = {
    "model": shared.ServiceKind.MODEL_ENGINE,
    "plain": shared.ServiceKind.PLAIN,
}
# The statements of which there may be many, with the scenario's field.
_LISTS = {
    types.Place: "places",
    types.Entries: "entries",
    types.Service: "services",
    types.Customer: "customers",
    types.Setting: "settings",
    types.Load: "loads",
    types.Event: "events",
    types.Expectation: "expectations",
}


class Single:
    """A statement that may stand once."""

    def __init__(self, field: str, value: Any, at: types.Position):
        self.field = field
        self.value = value
        self.at = at


@lark.v_args(meta=True)
class Builder(lark.Transformer):
    """Builds a `types.Scenario`; one method a rule of the grammar."""

    def __init__(self, file: str, text: str):
        """Keeps what positions and texts are taken from.

        Args:
          file: The file's name as it was given.
          text: The whole file.
        """
        super().__init__()
        self._file = file
        self._lines = text.split("\n")

    def start(self, meta, children):
        """Collects the statements."""
        del meta
        singles: dict[str, Single] = {}
        lists: dict[str, list[Any]] = {field: [] for field in _LISTS.values()}
        for child in children:
            if not isinstance(child, Single):
                lists[_LISTS[type(child)]].append(child)
            elif child.field in singles:
                raise types.ScenarioError(
                    child.at,
                    f"second `{child.field}`; the first is at line "
                    f"{singles[child.field].at.line}",
                )
            else:
                singles[child.field] = child
        values = {field: single.value for field, single in singles.items()}
        return types.Scenario(
            title=values.get("scenario", _DEFAULT_TITLE),
            seed=values.get("seed", _DEFAULT_SEED),
            duration_s=values.get("run for", _DEFAULT_DURATION_S),
            **{field: tuple(found) for field, found in lists.items()},
        )

    def title(self, meta, children):
        """`scenario "..."`."""
        return Single("scenario", children[0], self._at(meta))

    def seed(self, meta, children):
        """`seed N`."""
        return Single("seed", children[0], self._at(meta))

    def duration(self, meta, children):
        """`run for TIME`."""
        return Single("run for", children[0], self._at(meta))

    def place(self, meta, children):
        """`place NAME in REGION`."""
        name, region = children
        return types.Place(name, region, self._at(meta))

    def entries(self, meta, children):
        """`N entries in PLACE`."""
        count, place = children
        return types.Entries(count, place, self._at(meta))

    def service(self, meta, children):
        """`model service NAME with N workers`."""
        kind, name, workers = children
        return types.Service(name, _KINDS[kind], workers, self._at(meta))

    def customer(self, meta, children):
        """`customer NAME weight W`."""
        name, weight = children
        return types.Customer(name, float(weight), self._at(meta))

    def setting(self, meta, children):
        """`set PATH = JSON`."""
        return self._setting(meta, children)

    def load(self, meta, children):
        """`load NAME: R/s KIND to SERVICE from T to T ...`."""
        name, rate, kind, service, start_s, end_s, *options = children
        given: dict[str, Any] = {
            "customer": "",
            "priority": shared.Priority.NORMAL,
            "deadline_s": None,
            "tries": 1,
            "place": "",
        }
        given.update(options)
        return types.Load(
            name=name,
            rate=rate,
            kind=types.LoadKind(kind),
            service=service,
            start_s=start_s,
            end_s=end_s,
            at=self._at(meta),
            **given,
        )

    def rate(self, meta, children):
        """`R/s`."""
        del meta
        return children[0]

    def customer_option(self, meta, children):
        """`for CUSTOMER`."""
        del meta
        return "customer", children[0]

    def priority_option(self, meta, children):
        """`priority high`."""
        del meta
        return "priority", shared.Priority[children[0].upper()]

    def deadline_option(self, meta, children):
        """`within TIME`."""
        del meta
        return "deadline_s", children[0]

    def tries_option(self, meta, children):
        """`tries N`."""
        del meta
        return "tries", children[0]

    def place_option(self, meta, children):
        """`in PLACE`."""
        del meta
        return "place", children[0]

    def timed(self, meta, children):
        """`at TIME ACTION, ...`."""
        time_s, *actions = children
        return types.Event(time_s, None, tuple(actions), self._at(meta))

    def awaited(self, meta, children):
        """`when CONDITION ACTION, ...`."""
        condition, *actions = children
        return types.Event(None, condition, tuple(actions), self._at(meta))

    def declare(self, meta, children):
        """`declare SERVICE VERSION`."""
        service, version = children
        return types.Declare(service, version, self._at(meta))

    def change(self, meta, children):
        """`change PATH = JSON`."""
        return types.Change(self._setting(meta, children), self._at(meta))

    def part_fault(self, meta, children):
        """`down log`."""
        fault, part = children
        return self._part_fault(meta, part, fault, 0.0)

    def part_slow(self, meta, children):
        """`slow log by TIME`."""
        part, seconds = children
        return self._part_fault(meta, part, types.PartFault.SLOW, seconds)

    def part_counted(self, meta, children):
        """`lose N answers of log`."""
        fault, count, part = children
        return self._part_fault(meta, part, fault, count)

    def process_fault(self, meta, children):
        """`kill worker 1 of assistent`."""
        fault, process = children
        try:
            kind = types.ProcessFault(fault)
        except ValueError:
            raise types.ScenarioError(
                self._at(meta), f"a process cannot be {fault!r}"
            ) from None
        return types.FaultProcess(process, kind, self._at(meta))

    def entry_process(self, meta, children):
        """`entry N`."""
        return types.Process("", children[0], self._at(meta))

    def worker_process(self, meta, children):
        """`worker N of SERVICE`."""
        number, service = children
        return types.Process(service, number, self._at(meta))

    def cut(self, meta, children):
        """`cut PLACE from PLACE`, or `from platform`."""
        return self._cut(meta, children, joined=False)

    def join(self, meta, children):
        """`join PLACE with PLACE`, or `with platform`."""
        return self._cut(meta, children, joined=True)

    def expectation(self, meta, children):
        """`expect ... CONDITION`."""
        moment, condition = children
        when, time_s = moment or (types.When.FINALLY, 0.0)
        at = self._at(meta)
        text = self._lines[at.line - 1].split("#")[0].strip()
        return types.Expectation(when, time_s, condition, text, at)

    def finally_(self, meta, children):
        """`finally`."""
        del meta, children
        return types.When.FINALLY, 0.0

    def always(self, meta, children):
        """`always`."""
        del meta, children
        return types.When.ALWAYS, 0.0

    def by(self, meta, children):
        """`by TIME`."""
        del meta
        return types.When.BY, children[0]

    def at(self, meta, children):
        """`at TIME`."""
        del meta
        return types.When.AT, children[0]

    def condition(self, meta, children):
        """`QUANTITY <= BOUND`."""
        del meta
        quantity, comparison, bound = children
        bound = types.Bound(types.Comparison(comparison), **bound)
        return types.Condition(quantity, bound)

    def outcome(self, meta, children):
        """`answered of LOAD`."""
        measure, name = children
        return self._quantity(meta, measure, name or "")

    def reasoned(self, meta, children):
        """`not-run of LOAD because REASON`."""
        measure, name, reason = children
        return self._quantity(meta, measure, name or "", reason or "")

    def ledger(self, meta, children):
        """`doubled`."""
        return self._quantity(meta, children[0])

    def serving(self, meta, children):
        """`serving SERVICE VERSION`."""
        return self._quantity(meta, types.Measure.SERVING, *children)

    def in_force(self, meta, children):
        """`in-force PATH JSON`."""
        path, text = children
        value = self._json(meta, text)
        return self._quantity(meta, types.Measure.IN_FORCE, path, value=value)

    def counter(self, meta, children):
        """`counter NAME at PROCESS`."""
        name, process = children
        return self._quantity(
            meta, types.Measure.COUNTER, name, process=process
        )

    def copies(self, meta, children):
        """`origin-copies of SERVICE`."""
        return self._quantity(meta, types.Measure.ORIGIN_COPIES, children[0])

    def runs(self, meta, children):
        """`runs of LOAD`."""
        return self._quantity(meta, types.Measure.RUNS, children[0])

    def percent(self, meta, children):
        """`99%`."""
        del meta
        return {"value": children[0], "percent": True}

    def everyone(self, meta, children):
        """`all`."""
        del meta, children
        return {"value": 0.0, "everyone": True}

    def plain(self, meta, children):
        """A number, or a time in seconds."""
        del meta
        return {"value": float(children[0])}

    def _at(self, meta) -> types.Position:
        return types.Position(self._file, meta.line, meta.column)

    def _setting(self, meta, children) -> types.Setting:
        path, text = children
        return types.Setting(path, self._json(meta, text), self._at(meta))

    def _json(self, meta, text: str) -> Any:
        try:
            return json.loads(text)
        except ValueError:
            raise types.ScenarioError(
                self._at(meta),
                f'expected a JSON value such as 5, true or "text", '
                f"found {text.strip()!r}",
            ) from None

    def _part_fault(self, meta, part, fault, amount) -> types.FaultPart:
        return types.FaultPart(
            types.Part(part), types.PartFault(fault), amount, self._at(meta)
        )

    def _cut(self, meta, children, joined: bool) -> types.Cut:
        place, other = children
        other = "" if other == "platform" else other
        return types.Cut(place, other, joined, self._at(meta))

    def _quantity(
        self, meta, measure, name="", detail="", process=None, value=None
    ) -> types.Quantity:
        return types.Quantity(
            types.Measure(measure),
            name,
            detail,
            process,
            value,
            self._at(meta),
        )


class Terminals(lark.Transformer):
    """Turns tokens into numbers and plain strings."""

    def __default_token__(self, token):
        return str(token)

    def TEXT(self, token):  # noqa: N802, D102
        return str(token)[1:-1]

    def INTEGER(self, token):  # noqa: N802, D102
        return int(token)

    def DECIMAL(self, token):  # noqa: N802, D102
        return float(token)

    def TIME(self, token):  # noqa: N802, D102
        text = str(token)
        number = text.rstrip("mins")
        return float(number) * _SECONDS[text[len(number) :]]
