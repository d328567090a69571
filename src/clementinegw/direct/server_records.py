"""Filters outdated records of servers.

A write whose answer was lost may be executed seconds later, and a store may be
restored from a copy. The platform then lists an older state of a server as its
newest: a server that reported to be leaving seems ready again, and one that is
gone seems to be back.
"""

import collections
import dataclasses

from clementinegw.direct import _events
from clementinegw.direct import types
from clementinegw.telemetry import logs

# Number of remembered servers, including those no longer listed: several times
# the servers of a large deployment, at about 200 bytes each.
_MAX_SERVERS = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class _Newest:
    """Order and state of the newest record of a server.

    Attributes:
      started_ms: When its start began, in Unix milliseconds; 0 if unknown.
      sequence: The sequence number of the record.
      leaving: Whether the start is leaving.
      removed_in: The epoch of the store in which the record was removed; None
        if it was not.
    """

    started_ms: int
    sequence: int
    leaving: bool
    removed_in: int | None = None


class ServerRecords:
    """Newest accepted record of each server, by its id."""

    def __init__(self, log: logs.Log):
        self._log = log
        self._newest: collections.OrderedDict[str, _Newest]
        self._newest = collections.OrderedDict()

    def accept(
        self, server: types.Server, snapshot_epoch: int | None = None
    ) -> types.Server | None:
        """Accepts a record and returns its content; None if it is outdated.

        Starts of the same id are ordered by start time, records of the same
        start by sequence number. Once a start is reported as leaving, it stays
        leaving.

        Args:
          server: The record's content.
          snapshot_epoch: The epoch of the snapshot that the record is from;
            None if it is a change.
        """
        newest = self._newest.get(server.server_id)
        if newest is not None and _is_older(server, newest, snapshot_epoch):
            self._log.write(
                _events.SERVER_RECORD_OLD,
                server=server.server_id,
                born=server.started_ms,
                sequence=server.sequence,
                known=dataclasses.astuple(newest),
            )
            return None
        if newest is not None and _is_same_start(server, newest):
            server = dataclasses.replace(
                server,
                leaving=server.leaving or newest.leaving,
                started_ms=server.started_ms or newest.started_ms,
            )
        self._newest[server.server_id] = _Newest(
            server.started_ms, server.sequence, server.leaving
        )
        self._newest.move_to_end(server.server_id)
        while len(self._newest) > _MAX_SERVERS:
            self._newest.popitem(last=False)
        return server

    def record_removal(self, server_id: str, epoch: int) -> None:
        """Records that a server's record was removed.

        A store that was restored since may have the removed record again.

        Args:
          server_id: The server's id.
          epoch: The epoch of the store; see `direct.log_position`.
        """
        newest = self._newest.get(server_id)
        if newest is not None:
            self._newest[server_id] = dataclasses.replace(
                newest, removed_in=epoch
            )


def _is_same_start(server: types.Server, newest: _Newest) -> bool:
    """Returns whether a record belongs to the known start of its server.

    Without a start time, all records of an id belong to the same start.
    """
    return (
        not server.started_ms
        or not newest.started_ms
        or server.started_ms == newest.started_ms
    )


def _is_older(
    server: types.Server, newest: _Newest, snapshot_epoch: int | None
) -> bool:
    if _is_same_start(server, newest):
        if server.sequence == newest.sequence:
            return (
                newest.removed_in is not None
                and snapshot_epoch is not None
                and newest.removed_in < snapshot_epoch
            )
        return server.sequence < newest.sequence
    return server.started_ms < newest.started_ms
