"""The failure domains that operators evacuate.

It answers a failure domain that has to be free of requests within seconds: no
request begins there, whatever the load elsewhere, until the evacuation ends.
"""

from collections.abc import Collection, Mapping

# Knowledge of the operators' records counts as current up to this age, in
# seconds: a little more than a poll is held without news.
_MAX_CURRENT_AGE_S = 2.5


class Evacuations:
    """The evacuations in the operators' records, by key."""

    def __init__(self) -> None:
        self._domains: dict[str, str] = {}
        self._next_position = 0

    @property
    def domains(self) -> frozenset[str]:
        """The evacuated failure domains."""
        return frozenset(self._domains.values())

    def apply(
        self,
        changes: Mapping[str, str | None],
        is_snapshot: bool,
        next_position: int = 0,
    ) -> None:
        """Applies records.

        A snapshot that another process took before what is known here ends
        nothing.

        Args:
          changes: The failure domain that a record evacuates, by key; None if
            the record is not an evacuation any more.
          is_snapshot: Whether evacuations that are missing have ended.
          next_position: Up to where in the log the records are known.
        """
        if is_snapshot and next_position >= self._next_position:
            self._domains = {}
        self._next_position = max(self._next_position, next_position)
        for key, domain in changes.items():
            if domain is None:
                self._domains.pop(key, None)
            else:
                self._domains[key] = domain

    def in_force(
        self, age_s: float, reported: Collection[str]
    ) -> frozenset[str]:
        """Returns the failure domains that get no requests.

        Args:
          age_s: Maximum age of the records, in seconds. Others' knowledge
            counts in addition while they are not current.
          reported: The failure domains that agents report as evacuated.
        """
        if age_s <= _MAX_CURRENT_AGE_S:
            return self.domains
        return self.domains.union(reported)
