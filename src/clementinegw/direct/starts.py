"""Which record of a server is the newest one, start by start.

A write whose answer was lost may be executed seconds later. The platform then
lists an older state of a server as its newest: one that had said it leaves
seems ready again, and one that is gone seems back.
"""

import collections
import dataclasses

from clementinegw.direct import _events
from clementinegw.direct import types
from clementinegw.telemetry import logs

# Starts that are remembered, also after they are gone: some times the servers
# of a large deployment, at about 200 bytes each.
_MOST_KEPT = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class _Mark:
    """The newest record of a server."""

    born: int
    sequence: int
    leaving: bool


class Starts:
    """What was last believed of every server, by its id."""

    def __init__(self, log: logs.Log):
        self._log = log
        self._marks: collections.OrderedDict[str, _Mark]
        self._marks = collections.OrderedDict()

    def take(self, server: types.Server) -> types.Server | None:
        """Takes a record in and returns what it says; None for an older one.

        Starts of one id are ordered by when they were born, the records of one
        start by their sequence. A start that has said it leaves never takes
        that back.
        """
        mark = self._marks.get(server.server_id)
        if mark is not None and _is_older(server, mark):
            self._log.write(
                _events.SERVER_RECORD_OLD,
                server=server.server_id,
                born=server.started_ms,
                sequence=server.sequence,
                known=dataclasses.astuple(mark),
            )
            return None
        if mark is not None and _one_start(server, mark):
            server = dataclasses.replace(
                server,
                leaving=server.leaving or mark.leaving,
                started_ms=server.started_ms or mark.born,
            )
        self._marks[server.server_id] = _Mark(
            server.started_ms, server.sequence, server.leaving
        )
        self._marks.move_to_end(server.server_id)
        while len(self._marks) > _MOST_KEPT:
            self._marks.popitem(last=False)
        return server


def _one_start(server: types.Server, mark: _Mark) -> bool:
    """Returns whether a record is of the start that is known.

    Without a time of birth the id alone names the start.
    """
    return (
        not server.started_ms or not mark.born or server.started_ms == mark.born
    )


def _is_older(server: types.Server, mark: _Mark) -> bool:
    if _one_start(server, mark):
        return server.sequence < mark.sequence
    return server.started_ms < mark.born
