"""Chooses the updates and reports piggybacked on each datagram."""

import collections
from collections.abc import Callable
import dataclasses
import itertools
import math
import random

from clementinegw.membership import parameters
from clementinegw.wire.gen.membership import ttypes

# Queued updates examined for one datagram; not every receiver needs each one.
_MAX_EXAMINED = 32


@dataclasses.dataclass(slots=True)
class _QueuedUpdate:
    member: ttypes.Member
    remaining: int


class Dissemination:
    """Queues of updates to retransmit and of reports to forward."""

    def __init__(self, options: parameters.Parameters, rng: random.Random):
        self._options = options
        self._rng = rng
        # The updates sent least often come first: a new one goes to the front,
        # one that was sent goes to the back.
        self._queue: collections.OrderedDict[str, _QueuedUpdate] = (
            collections.OrderedDict()
        )
        self._urgent: dict[str, ttypes.Member] = {}
        # In the order of arrival; the latest are sent first.
        self._reports: dict[int, ttypes.Report] = {}

    @property
    def pending(self) -> int:
        """The number of updates with transmissions left."""
        return len(self._queue)

    def add(self, member: ttypes.Member, members: int, urgent: bool) -> None:
        """Queues an update.

        Args:
          member: The update; replaces an older one of the same member.
          members: The number of known members, for the retransmit count.
          urgent: Whether it is also pushed to some peers immediately.
        """
        remaining = self._options.retransmits
        if urgent:
            rounds = math.log2(members + 2)
            remaining = math.ceil(self._options.urgent_factor * rounds)
            self._urgent[member.instance_id] = member
        self._queue[member.instance_id] = _QueuedUpdate(member, remaining)
        self._queue.move_to_end(member.instance_id, last=False)

    def add_report(self, report: ttypes.Report) -> None:
        """Queues a report to be sent once; replaces an older one."""
        self._reports.pop(report.member_key, None)
        self._reports[report.member_key] = report

    def take_updates(
        self, wanted: Callable[[ttypes.Member], bool]
    ) -> list[ttypes.Member]:
        """Returns updates for one datagram, those sent least often first.

        Args:
          wanted: Whether the receiver needs updates about that member.
        """
        chosen: list[ttypes.Member] = []
        if not self._queue:
            return chosen
        for queued in list(
            itertools.islice(self._queue.values(), _MAX_EXAMINED)
        ):
            if len(chosen) == self._options.updates_per_datagram:
                break
            if wanted(queued.member):
                chosen.append(queued.member)
                self._count_transmission(queued)
        return chosen

    def take_urgent(self, max_updates: int) -> list[ttypes.Member]:
        """Removes and returns up to `max_updates` updates to push now."""
        chosen = list(self._urgent)[:max_updates]
        return [self._urgent.pop(instance_id) for instance_id in chosen]

    def take_reports(self, own: ttypes.Report) -> list[ttypes.Report]:
        """Returns the reports for one datagram, this process's own first."""
        max_others = self._options.reports_per_datagram - 1
        chosen = [own]
        while self._reports and len(chosen) <= max_others:
            chosen.append(self._reports.popitem()[1])
        return chosen

    def _count_transmission(self, queued: _QueuedUpdate) -> None:
        queued.remaining -= 1
        if queued.remaining > 0:
            self._queue.move_to_end(queued.member.instance_id)
        else:
            del self._queue[queued.member.instance_id]
