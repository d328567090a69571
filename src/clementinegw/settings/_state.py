"""The persistent state of a fold, as JSON text determined by the revision."""

import base64
import binascii
import collections
import dataclasses
import json
from typing import Any
import zlib

import blake3

from clementinegw import exceptions
from clementinegw.settings import _errors
from clementinegw.settings import changes

MAX_STATE_BYTES = 16_777_216
MAX_VERDICTS = 512
MAX_HISTORY_ENTRIES = 100

Verdicts = collections.OrderedDict[str, "Verdict"]


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The result of a change.

    It contains no message texts. They come from libraries and differ between
    versions, and the digest of the state must not.

    Attributes:
      revision: The revision that the change made; for a rejected change, the
        revision at that time.
      reason: Why the change was rejected; empty if it was accepted.
      conflict: The id of the change that it conflicted with, or empty.
      conflict_revision: The revision of that change, or 0.
    """

    revision: int
    reason: str = ""
    conflict: str = ""
    conflict_revision: int = 0

    def to_json(self, change_id: str) -> list[Any]:
        """Returns the verdict and the id of its change as JSON."""
        return [change_id, *dataclasses.astuple(self)]


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryEntry:
    """An accepted change in the history.

    Attributes:
      revision: The revision that the change made.
      change_id: The id of the change.
      who: The operator.
      why: The reason that the operator gave.
      time: When the log accepted the record, epoch seconds.
      operations: The operations of the change.
      inverse: The operations that undo the change.
    """

    revision: int
    change_id: str
    who: str
    why: str
    time: float
    operations: tuple[changes.Operation, ...]
    inverse: tuple[changes.Operation, ...]

    def to_json(self) -> dict[str, Any]:
        """Returns the entry as JSON."""
        return {
            "revision": self.revision,
            "id": self.change_id,
            "who": self.who,
            "why": self.why,
            "time": self.time,
            "do": [changes.encode_operation(o) for o in self.operations],
            "undo": [changes.encode_operation(o) for o in self.inverse],
        }


def _history_entry_from_json(data: dict[str, Any]) -> HistoryEntry:
    return HistoryEntry(
        data["revision"],
        data["id"],
        data["who"],
        data["why"],
        data["time"],
        tuple(changes.decode_operation(o) for o in data["do"]),
        tuple(changes.decode_operation(o) for o in data["undo"]),
    )


@dataclasses.dataclass(slots=True)
class State:
    """The part of the fold that is determined by the revision.

    Attributes:
      schema: The highest schema of the folded records.
      revision: The offset of the newest accepted change; 0 before the first.
      floor: A change based on a revision up to this one is rejected, unless
        that is the current revision: the paths touched since are no longer
        known.
      tree: The settings tree as JSON.
      touched: The newest revision and change id for each touched path.
      verdicts: The results of the latest changes by id, oldest first.
      history: The latest accepted changes, oldest first.
    """

    schema: int = 1
    revision: int = 0
    floor: int = -1
    tree: Any = dataclasses.field(default_factory=dict)
    touched: dict[str, tuple[int, str]] = dataclasses.field(
        default_factory=dict
    )
    verdicts: collections.OrderedDict[str, Verdict] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    history: collections.deque[HistoryEntry] = dataclasses.field(
        default_factory=collections.deque
    )

    def accept(
        self,
        change: changes.Change,
        tree: changes.Json,
        revision: int,
        time: float,
        refused: Verdicts,
    ) -> None:
        """Adds an accepted change and removes the oldest entries.

        Args:
          change: The change.
          tree: The tree after the change.
          revision: The revision that the change makes.
          time: When the log accepted the record, epoch seconds.
          refused: The changes rejected since the last accepted one. They
            become part of the state now and are removed from `refused`.
        """
        inverse = changes.inverse(self.tree, change.operations)
        self.history.append(
            HistoryEntry(
                revision,
                change.change_id,
                change.who,
                change.why,
                time,
                change.operations,
                inverse,
            )
        )
        self.tree = tree
        self.schema = max(self.schema, change.schema)
        self.revision = revision
        for operation in change.operations:
            self.touched[operation.path] = (revision, change.change_id)
        if len(refused) == MAX_VERDICTS:
            oldest = next(iter(refused.values()))
            self.floor = max(self.floor, oldest.revision)
        self.verdicts.update(refused)
        self.verdicts[change.change_id] = Verdict(revision)
        refused.clear()
        self._trim()

    def _trim(self) -> None:
        while len(self.history) > MAX_HISTORY_ENTRIES:
            self.history.popleft()
        while len(self.verdicts) > MAX_VERDICTS:
            # If a change whose verdict was removed came again, it would be
            # decided again. It is based on this revision or an earlier one, so
            # the floor rejects it.
            _, removed = self.verdicts.popitem(last=False)
            self.floor = max(self.floor, removed.revision)
        for path, (revision, _) in list(self.touched.items()):
            if revision <= self.floor:
                del self.touched[path]

    def accepted(self, change_id: str) -> bool:
        """Returns whether the state has a change as accepted."""
        verdict = self.verdicts.get(change_id)
        return verdict is not None and not verdict.reason

    def encode(self) -> bytes:
        """Returns the state as canonical JSON text."""
        return _errors.dump_json(
            {
                "schema": self.schema,
                "revision": self.revision,
                "floor": self.floor,
                "tree": self.tree,
                "touched": {p: list(t) for p, t in self.touched.items()},
                "verdicts": [v.to_json(i) for i, v in self.verdicts.items()],
                "history": [entry.to_json() for entry in self.history],
            }
        )


def decode(text: bytes) -> State:
    """Returns the state that `State.encode` encoded.

    Raises:
      exceptions.DecodeError: The text is not an encoded state.
    """
    try:
        data = json.loads(text)
        return State(
            data["schema"],
            data["revision"],
            data["floor"],
            data["tree"],
            {p: (t[0], t[1]) for p, t in data["touched"].items()},
            verdicts_from_json(data["verdicts"]),
            collections.deque(
                _history_entry_from_json(h) for h in data["history"]
            ),
        )
    except (ValueError, KeyError, TypeError, IndexError) as error:
        raise exceptions.DecodeError(f"settings state: {error!r}") from None


def verdicts_from_json(rows: Any) -> Verdicts:
    """Returns verdicts by change id, decoded from JSON."""
    return collections.OrderedDict((row[0], Verdict(*row[1:])) for row in rows)


def digest(text: bytes) -> str:
    """Returns the digest of an encoded state, 64 hex digits."""
    return blake3.blake3(text).hexdigest()


def pack(text: bytes) -> str:
    """Returns an encoded state compressed and as text, for a record."""
    return base64.b64encode(zlib.compress(text, 6)).decode()


def unpack(packed: str, expected_digest: str) -> bytes:
    """Returns the encoded state that was given to `pack`.

    Raises:
      exceptions.DecodeError: The text is damaged, too large or has another
        digest.
    """
    try:
        inflater = zlib.decompressobj()
        compressed = base64.b64decode(packed, validate=True)
        text = inflater.decompress(compressed, MAX_STATE_BYTES)
    except (binascii.Error, zlib.error, ValueError) as error:
        raise exceptions.DecodeError(f"settings snapshot: {error}") from None
    if inflater.unconsumed_tail or digest(text) != expected_digest:
        raise exceptions.DecodeError("settings snapshot: wrong digest")
    return text
