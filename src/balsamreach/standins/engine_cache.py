"""Bounded prefix cache of the simulated engine, and its event log."""

import collections
import math
from collections.abc import Callable
from typing import Any

import attrs
import xxhash

#: Bytes of prompt text in a cache block.
BLOCK_BYTES = 64
_LOG_LENGTH = 4096


def blocks_of(prompt: str) -> tuple[str, ...]:
    """Return the names of a prompt's full blocks.

    The name of a block is a hash of the prompt up to the block's end.
    """
    text = prompt.encode()
    full = len(text) // BLOCK_BYTES
    digest = xxhash.xxh3_64()
    names = []
    for index in range(full):
        start = index * BLOCK_BYTES
        digest.update(text[start : start + BLOCK_BYTES])
        names.append(digest.hexdigest())
    return tuple(names)


@attrs.frozen
class _LogEntry:
    """A cache event, its time, and whether it is never reported."""

    at: float
    event: dict[str, Any]
    is_lost: bool


@attrs.define
class PrefixCache:
    """LRU cache of blocks with a log of stored and evicted blocks.

    Parameters
    ----------
    limit : int
        Maximum number of blocks.
    now : callable
        Returns the time of an event, in seconds.
    loses : callable
        Returns whether the next event is never reported.
    """

    limit: int
    now: Callable[[], float] = float
    loses: Callable[[], bool] = bool
    _blocks: collections.OrderedDict[str, None] = attrs.Factory(
        collections.OrderedDict
    )
    _log: collections.deque[_LogEntry] = attrs.Factory(
        lambda: collections.deque(maxlen=_LOG_LENGTH)
    )
    _next_seq: int = 1

    def __len__(self) -> int:
        """Return the number of cached blocks."""
        return len(self._blocks)

    def use(self, blocks: tuple[str, ...]) -> int:
        """Store blocks; return how many leading ones were cached before."""
        cached = 0
        for block in blocks:
            if block not in self._blocks:
                break
            cached += 1
        for block in blocks:
            self._store(block)
        return cached

    def clear(self) -> None:
        """Remove all blocks and events, as a restart does."""
        self._blocks.clear()
        self._log.clear()

    def events(
        self,
        since: int,
        until: float = math.inf,
    ) -> dict[str, Any]:
        """Return the events from a sequence number on, up to a time."""
        visible = [entry for entry in self._log if entry.at <= until]
        newer = [
            entry.event
            for entry in visible
            if entry.event['seq'] >= since and not entry.is_lost
        ]
        hidden_count = len(self._log) - len(visible)
        return {'next': self._next_seq - hidden_count, 'events': newer}

    def _store(self, block: str) -> None:
        if block in self._blocks:
            self._blocks.move_to_end(block)
            return
        self._blocks[block] = None
        self._log_event('stored', block)
        if len(self._blocks) > self.limit:
            evicted, _ = self._blocks.popitem(last=False)
            self._log_event('evicted', evicted)

    def _log_event(self, kind: str, block: str) -> None:
        event = {'seq': self._next_seq, 'kind': kind, 'block': block}
        self._log.append(_LogEntry(self.now(), event, self.loses()))
        self._next_seq += 1
