"""Checks whether a page of the log continues a fold."""

import enum

from clementinegw.platform import log as log_lib
from clementinegw.settings import fold as fold_lib
from clementinegw.settings import records


class RefuseReason(enum.StrEnum):
    """Why the log is refused; each reason has an event and a counter."""

    OLDER = "older"
    REPLACED = "replaced"
    GAP = "gap"
    NO_SNAPSHOT = "no_snapshot"


def check(fold: fold_lib.Fold, page: log_lib.Page) -> RefuseReason | None:
    """Returns why a page read with an overlap does not continue a fold.

    A log that was rolled back and has grown again has other records at the
    same offsets. A process that read on from its position alone would not
    notice that it missed records, and would keep settings that no other
    process has.

    Returns:
      The reason; None if the page continues the fold.
    """
    if page.next_offset < fold.position:
        return RefuseReason.OLDER
    if page.first_offset > fold.position:
        return RefuseReason.GAP
    expected = fold.position
    for record in page.records:
        if record.offset < fold.position:
            seen = records.fingerprint(record.value)
            if record.offset == fold.position - 1 and seen != fold.fingerprint:
                return RefuseReason.REPLACED
            continue
        if record.offset != expected:
            return RefuseReason.GAP
        expected += 1
    if expected == fold.position < page.next_offset:
        # No record has these offsets, so reading on would never end.
        return RefuseReason.GAP
    return None


def new_records(
    fold: fold_lib.Fold, page: log_lib.Page
) -> list[log_lib.Record]:
    """Returns the records that the fold has not read."""
    return [r for r in page.records if r.offset >= fold.position]


def describe(fold: fold_lib.Fold, page: log_lib.Page) -> str:
    """Returns the expected and the found offsets, for the log line."""
    found = ",".join(str(record.offset) for record in page.records[:2])
    return (
        f"expected offset {fold.position}, the log has {page.first_offset}"
        f" to {page.next_offset - 1}, read {found or 'none'}"
    )
