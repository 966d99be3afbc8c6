"""Decides which answers a process goes on to receive while its memory lasts.

Load pattern: targets in trouble answer many requests at the same time with
bytes that have no end. Each answer has a limit of its own, but all of them
together would exceed the memory, and the requests of all other callers would
end with the process.
"""

from collections.abc import Callable

import attrs

#: Bytes up to which an answer counts as small.
_SMALL_BYTES = 64 * 1024
#: Share of the memory that larger answers may fill, so that small ones are
#: still received beside a crowd of large ones.
_LARGE_SHARE = 0.75
#: Bytes of the largest answer that is received whole. A single one must be,
#: however little memory the host has.
LARGEST_BYTES = 8 << 20


def _none_waiting() -> int:
    """Return 0."""
    return 0


@attrs.define(eq=False)
class HeldAnswer:
    """The bytes that are held of one answer while it is received.

    Parameters
    ----------
    give_up : callable
        Ends the exchange, and frees what is held.
    has_length : bool
        Whether its head announces how large it will be.
    size : int
        Bytes that are held.
    """

    give_up: Callable[[], None]
    has_length: bool = False
    size: int = 0


@attrs.define(eq=False)
class AnswerMemory:
    """Counts the bytes of all answers, and gives some up when it is full.

    The answer that holds most is given up first, as one without end grows
    beyond all others. Those whose heads announce their size come later, since
    they do have an end, and small ones last.

    Parameters
    ----------
    capacity : int
        Bytes that all answers may take.
    waiting : callable
        Returns the bytes of answers that wait for slow callers beyond the
        share that is theirs. They can't be given up any more, so that larger
        answers must leave room for them.
    used : int
        Bytes that are held of answers that are received.
    """

    capacity: int
    waiting: Callable[[], int] = _none_waiting
    used: int = 0
    _receiving: dict[HeldAnswer, None] = attrs.field(factory=dict)

    def resize(self, answer: HeldAnswer, size: int) -> None:
        """Record how much is held of an answer, and give up what is too much.

        Parameters
        ----------
        answer : HeldAnswer
            The answer. It may be given up itself.
        size : int
            Bytes that are held.
        """
        self.used += size - answer.size
        answer.size = size
        self._receiving[answer] = None
        while answer.size and self._is_exceeded(answer):
            self._give_up(max(self._receiving, key=_rank))

    def end(self, answer: HeldAnswer) -> None:
        """Forget an answer that is no longer received; may be repeated."""
        self._receiving.pop(answer, None)
        self.used -= answer.size
        answer.size = 0

    def _is_exceeded(self, growing: HeldAnswer) -> bool:
        if growing.size <= _SMALL_BYTES:
            return self.used > self.capacity
        limit = max(LARGEST_BYTES, int(self.capacity * _LARGE_SHARE))
        return self.used + self.waiting() > limit

    def _give_up(self, answer: HeldAnswer) -> None:
        self.end(answer)
        answer.give_up()


def _rank(answer: HeldAnswer) -> tuple[bool, bool, int]:
    """Return the order in which answers are given up, the last one first."""
    is_large = answer.size > _SMALL_BYTES
    return is_large, not answer.has_length, answer.size
