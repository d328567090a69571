"""The prefix cache of an engine stand-in and its cache events."""

import collections

from clementinegw.backend import prefixes
from clementinegw.backend import types
from clementinegw.testing import _engine_faults
from clementinegw.testing import _engine_text

MAX_EVENTS = 1024
TOKENS_PER_BLOCK = prefixes.BLOCK_CHARS // _engine_text.CHARS_PER_TOKEN


class PrefixCache:
    """A cache of prompt blocks that evicts the least recently used first."""

    def __init__(self, limit_tokens: int, faults: _engine_faults.Faults):
        """Creates an empty cache.

        Args:
          limit_tokens: The size of the cache, in tokens.
          faults: The source of the delay and loss of cache events.
        """
        self._limit_blocks = limit_tokens // TOKENS_PER_BLOCK
        self._faults = faults
        self._blocks: collections.OrderedDict[int, None]
        self._blocks = collections.OrderedDict()
        self._events: collections.deque[tuple[float, types.CacheEvent]]
        self._events = collections.deque(maxlen=MAX_EVENTS)
        self._sequence = 0
        self._hit_tokens = 0
        self._prompt_tokens = 0

    @property
    def hit_ratio(self) -> float:
        """The share of all prompt tokens that were found in the cache."""
        if not self._prompt_tokens:
            return 0.0
        return self._hit_tokens / self._prompt_tokens

    @property
    def blocks(self) -> tuple[int, ...]:
        """The hashes of all blocks, the most recently used last."""
        return tuple(self._blocks)

    def match_and_store(self, prompt: str, now: float) -> int:
        """Stores a prompt; returns how many of its tokens were cached."""
        hashes = prefixes.block_hashes(prompt)
        hit_blocks = 0
        for block in hashes:
            if block not in self._blocks:
                break
            hit_blocks += 1
        self._store(hashes, now)
        self._prompt_tokens += _engine_text.prompt_tokens(prompt)
        self._hit_tokens += hit_blocks * TOKENS_PER_BLOCK
        return hit_blocks * TOKENS_PER_BLOCK

    def clear(self, now: float) -> None:
        """Evicts all blocks, as an engine does when it loads weights."""
        if self._blocks:
            self._publish(types.CacheChange.EVICTED, tuple(self._blocks), now)
        self._blocks.clear()

    def events(self, after: int, now: float) -> types.CacheEvents:
        """Returns the events after a sequence number that are visible now.

        Args:
          after: The last sequence number that the caller has received.
          now: The current time, in seconds.
        """
        visible = [event for due, event in self._events if due <= now]
        first = self._events[0][1].sequence if self._events else 1
        # After a restart, the next number may be lower than the requested one.
        next_sequence = visible[-1].sequence + 1 if visible else 1
        new_events = tuple(event for event in visible if event.sequence > after)
        return types.CacheEvents(first, next_sequence, new_events)

    def _store(self, hashes: tuple[int, ...], now: float) -> None:
        new = tuple(block for block in hashes if block not in self._blocks)
        # Blocks are touched in reverse order, so that the end of a prompt is
        # evicted before its start.
        for block in reversed(hashes):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        if new:
            self._publish(types.CacheChange.STORED, new, now)
        evicted = []
        while len(self._blocks) > self._limit_blocks:
            evicted.append(self._blocks.popitem(last=False)[0])
        if evicted:
            self._publish(types.CacheChange.EVICTED, tuple(evicted), now)

    def _publish(
        self, change: types.CacheChange, blocks: tuple[int, ...], now: float
    ) -> None:
        self._sequence += 1
        drop_interval = self._faults.cache_event_drop_interval
        if drop_interval and self._sequence % drop_interval == 0:
            return
        due = now + self._faults.cache_event_delay_s
        event = types.CacheEvent(self._sequence, change, blocks)
        self._events.append((due, event))
