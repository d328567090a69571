"""`clementinegw settings ACTION`: reads and changes the settings tree."""

from collections.abc import Awaitable, Callable
import dataclasses
import getpass
import json
import pathlib
from typing import Any

from absl import flags
import aiohttp

from clementinegw import exceptions
from clementinegw import types
from clementinegw.commands import _settings_format as formats
from clementinegw.platform import log as log_lib
from clementinegw.settings import changes
from clementinegw.settings import fold as fold_lib
from clementinegw.settings import model as model_lib
from clementinegw.settings import publisher
from clementinegw.settings import results
from clementinegw.settings import tree as tree_lib

NAME = "settings"
HELP = """usage: clementinegw settings ACTION --log=URL [ARGUMENT...]

  get [PATH]           prints the tree, or the value at PATH
  set PATH=VALUE...    sets values, as JSON; plain words need no quotes
  unset PATH...        removes values, so that inherited ones apply
  apply FILE           makes the tree equal to a JSON file
  diff FILE|REVISION   shows what `apply FILE` would change, or the changes
                       since REVISION
  history [PATH]       shows who changed what, when and why
  explain GROUP.KNOB   shows the effective value and the level that sets it
  undo REVISION|PATH   undoes that change, or the latest that changed PATH

A change is accepted or rejected by its position in the log, with the same
result on every process: it is rejected if a value that it touches has changed
since --base, a revision (by default the newest). --dry_run shows the effect
without publishing. Exit code 1: the change was rejected."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Session:
    """The context of an action.

    Attributes:
      log: The client of the platform's log.
      fold: The settings in the log when the command started.
      flags: The command's flags.
    """

    log: log_lib.LogClient
    fold: fold_lib.Fold
    flags: Any


Action = Callable[[_Session, list[str]], Awaitable[int]]


def define(flag_values) -> None:
    """Defines the command's flags."""
    for name, default, help_text in _STRING_FLAGS:
        flags.DEFINE_string(name, default, help_text, flag_values=flag_values)
    flags.DEFINE_integer(
        "base",
        None,
        "The revision that the change is based on.",
        lower_bound=0,
        flag_values=flag_values,
    )
    flags.DEFINE_integer(
        "limit",
        20,
        "Maximum number of changes that `history` shows.",
        flag_values=flag_values,
    )
    flags.DEFINE_boolean(
        "dry_run",
        False,
        "Show the effect of the change without publishing it.",
        flag_values=flag_values,
    )


_STRING_FLAGS = (
    ("log", None, "Base URL of the platform's log."),
    (
        "who",
        None,
        "The operator recorded in the history; the login name by default.",
    ),
    ("why", "", "The reason recorded in the history."),
    ("region", "", "For explain: the region."),
    ("failure_domain", "", "For explain: the failure domain."),
    ("service", "", "For explain: the service."),
    ("customer", "", "For explain: the customer."),
)


async def run(args: list[str], flag_values) -> int:
    """Runs one action."""
    action = _ACTIONS.get(args[0]) if args else None
    if action is None:
        raise exceptions.UsageError(
            f"settings: expected one of {', '.join(_ACTIONS)}"
            f" (see `clementinegw settings --help`)"
        )
    url = flag_values.log or ""
    if not url.startswith(("http://", "https://")):
        raise exceptions.UsageError(
            f"--log: expected a URL such as http://10.0.0.7:8080, found {url!r}"
        )
    async with aiohttp.ClientSession() as session:
        log = log_lib.HttpLog(url, session)
        fold = await publisher.read_fold(log)
        return await action(_Session(log, fold, flag_values), args[1:])


def _single_argument(args: list[str], action: str, expected: str) -> str:
    if len(args) != 1:
        raise exceptions.UsageError(f"settings {action}: expected {expected}")
    return args[0]


def _optional_path(args: list[str], action: str) -> str:
    return _single_argument(args, action, "at most one PATH") if args else ""


def _print_result(session: _Session, data: Any, lines: str) -> int:
    print(json.dumps(data) if session.flags.json else lines)
    return 0


async def _get(session: _Session, args: list[str]) -> int:
    path = _optional_path(args, "get")
    try:
        value = changes.lookup(
            session.fold.raw, changes.split(path) if path else ()
        )
    except KeyError:
        raise exceptions.SettingsError(
            f"$.{path}: expected a value that was set, found none; `settings"
            " explain` shows inherited and default values"
        ) from None
    data = {"revision": session.fold.revision, "path": path, "value": value}
    return _print_result(
        session, data, json.dumps(value, indent=2, sort_keys=True)
    )


def parse_assignment(argument: str) -> changes.Set:
    """Returns the operation that a `PATH=VALUE` argument describes.

    Raises:
      exceptions.UsageError: The argument has no `=` or no path.
    """
    path, equals, value = argument.partition("=")
    if not equals or not path:
        raise exceptions.UsageError(
            f"settings set: expected PATH=VALUE, found {argument!r}"
        )
    try:
        return changes.Set(path, json.loads(value))
    except ValueError:
        return changes.Set(path, value)


async def _set(session: _Session, args: list[str]) -> int:
    if not args:
        raise exceptions.UsageError("settings set: expected PATH=VALUE...")
    operations = tuple(parse_assignment(argument) for argument in args)
    return await _publish(session, operations)


async def _unset(session: _Session, args: list[str]) -> int:
    if not args:
        raise exceptions.UsageError("settings unset: expected PATH...")
    return await _publish(session, tuple(changes.Unset(path) for path in args))


def _read_tree(name: str) -> changes.Json:
    try:
        data = pathlib.Path(name).read_bytes()
    except OSError as error:
        raise exceptions.SettingsError(
            f"{name}: cannot be read: {error.strerror}"
        ) from None
    model_lib.parse_tree(data, name)
    return json.loads(data)


def operations_between(
    before: changes.Json, after: changes.Json
) -> tuple[changes.Operation, ...]:
    """Returns the operations that change one tree into another."""
    operations: list[changes.Operation] = []
    for difference in changes.diff(before, after):
        if difference.kind is changes.DiffKind.REMOVED:
            unset = changes.Unset(
                _shortest_missing_path(after, difference.path)
            )
            if unset not in operations:
                operations.append(unset)
        else:
            operations.append(changes.Set(difference.path, difference.after))
    # A value that becomes an object must be removed before its parts are set.
    operations.sort(key=lambda o: isinstance(o, changes.Set))
    return tuple(operations)


def _shortest_missing_path(tree: changes.Json, path: str) -> str:
    """Returns the shortest prefix of a path that a tree does not contain."""
    keys = changes.split(path)
    for length in range(1, len(keys)):
        try:
            changes.lookup(tree, keys[:length])
        except KeyError:
            return ".".join(keys[:length])
    return path


async def _apply(session: _Session, args: list[str]) -> int:
    target = _read_tree(_single_argument(args, "apply", "FILE"))
    operations = operations_between(session.fold.raw, target)
    if not operations:
        data = {"revision": session.fold.revision, "changed": 0}
        return _print_result(session, data, "nothing to change")
    return await _publish(session, operations)


def tree_at(fold: fold_lib.Fold, revision: int) -> changes.Json:
    """Returns the tree at an earlier revision.

    Raises:
      exceptions.SettingsError: The history does not contain that revision.
    """
    history = fold.history()
    oldest = history[0].revision if history else 0
    if revision > fold.revision or (
        revision < oldest and len(history) == fold_lib.MAX_HISTORY_ENTRIES
    ):
        raise exceptions.SettingsError(
            f"revision: expected {oldest} to {fold.revision}, found {revision}"
        )
    tree = fold.raw
    for entry in reversed(history):
        if entry.revision > revision:
            tree = changes.apply(tree, entry.inverse)
    return tree


async def _diff(session: _Session, args: list[str]) -> int:
    target = _single_argument(args, "diff", "FILE or REVISION")
    if target.isdigit():
        before, after = tree_at(session.fold, int(target)), session.fold.raw
    else:
        before, after = session.fold.raw, _read_tree(target)
    differences = changes.diff(before, after)
    data = {
        "revision": session.fold.revision,
        "differences": [dataclasses.asdict(d) for d in differences],
    }
    return _print_result(session, data, formats.format_differences(differences))


async def _history(session: _Session, args: list[str]) -> int:
    entries = session.fold.history(_optional_path(args, "history"))
    entries = entries[-max(session.flags.limit, 1) :]
    data = {
        "revision": session.fold.revision,
        "changes": [entry.to_json() for entry in entries],
    }
    return _print_result(session, data, formats.format_history(entries))


async def _explain(session: _Session, args: list[str]) -> int:
    path = _single_argument(args, "explain", "GROUP.KNOB")
    values = session.flags
    tree = session.fold.tree
    for section, name in (
        ("regions", values.region),
        ("failure_domains", values.failure_domain),
        ("services", values.service),
        ("customers", values.customer),
    ):
        known = list(getattr(tree, section))
        if name and name not in known:
            raise exceptions.UsageError(
                f"{section}: expected one of {', '.join(known) or 'none'},"
                f" found {name!r}"
            )
    region = values.region
    if values.failure_domain:
        region = tree.failure_domains[values.failure_domain].region
    place = types.Place(region, values.failure_domain)
    explained = tree_lib.explain(
        tree, path, place, values.service, values.customer
    )
    data = {"revision": session.fold.revision, "path": path}
    data.update(dataclasses.asdict(explained))
    return _print_result(
        session, data, formats.format_explained(path, explained)
    )


def find_change(fold: fold_lib.Fold, target: str) -> fold_lib.HistoryEntry:
    """Returns the change of a revision, or the latest that touched a path.

    Args:
      fold: The settings and their history.
      target: A revision or a path.

    Raises:
      exceptions.SettingsError: The history contains no such change.
    """
    if target.isdigit():
        found = [e for e in fold.history() if e.revision == int(target)]
    else:
        found = fold.history(target)
    if not found:
        raise exceptions.SettingsError(
            "undo: expected a revision or path of the history,"
            f" found {target!r}"
        )
    return found[-1]


async def _undo(session: _Session, args: list[str]) -> int:
    entry = find_change(
        session.fold, _single_argument(args, "undo", "REVISION or PATH")
    )
    why = session.flags.why or f"undo of revision {entry.revision}"
    # Based on the undone revision, so that it is rejected rather than
    # overriding later changes.
    return await _publish(session, entry.inverse, entry.revision, why)


async def _publish(
    session: _Session,
    operations: tuple[changes.Operation, ...],
    base: int | None = None,
    why: str = "",
) -> int:
    values = session.flags
    if values.base is not None:
        base = values.base
    change = publisher.new_change(
        session.fold.revision if base is None else base,
        values.who or getpass.getuser(),
        why or values.why,
        operations,
    )
    preview = session.fold.preview(change)
    if isinstance(preview, results.Rejected):
        raise _rejected(session.fold, preview)
    after = changes.apply(session.fold.raw, operations)
    differences = changes.diff(session.fold.raw, after)
    if values.dry_run:
        data = {
            "dry_run": True,
            "base": change.base,
            "differences": [dataclasses.asdict(d) for d in differences],
        }
        return _print_result(
            session, data, formats.format_differences(differences)
        )
    result = await publisher.publish(session.log, change)
    if isinstance(result, results.Rejected):
        raise _rejected(await publisher.read_fold(session.log), result)
    data = {
        "accepted": True,
        "revision": result.revision,
        "change": change.change_id,
        "differences": [dataclasses.asdict(d) for d in differences],
    }
    lines = f"accepted at revision {result.revision}"
    return _print_result(
        session, data, f"{formats.format_differences(differences)}\n{lines}"
    )


def _rejected(
    fold: fold_lib.Fold, rejected: results.Rejected
) -> exceptions.ClementineError:
    """Returns an error with the reason and the conflicting change."""
    if rejected.reason is results.RejectReason.INVALID:
        return exceptions.SettingsError(f"rejected: {rejected.detail}")
    line = f"rejected, {rejected.reason}"
    if rejected.conflicting_change:
        line += (
            f": conflicts with revision {rejected.conflicting_revision}"
            f" (change {rejected.conflicting_change}"
        )
        for entry in fold.history():
            if entry.change_id == rejected.conflicting_change:
                line += f" by {entry.who}: {entry.why or 'no reason given'}"
        line += ")"
    elif rejected.detail:
        line += f": {rejected.detail}"
    return exceptions.ClementineError(line)


_ACTIONS: dict[str, Action] = {
    "get": _get,
    "set": _set,
    "unset": _unset,
    "apply": _apply,
    "diff": _diff,
    "history": _history,
    "explain": _explain,
    "undo": _undo,
}
