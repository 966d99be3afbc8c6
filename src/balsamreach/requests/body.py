"""The body of an answer in memory, and the bound on all such memory."""

import abc

import attrs


class Room(abc.ABC):
    """Bounds the memory that all answers of a router hold.

    Parameters
    ----------
    each : int
        Most bytes one answer may hold.
    """

    each: int

    @abc.abstractmethod
    def grow(self, more: int) -> bool:
        """Take in more bytes; False where there is no room for them."""

    @abc.abstractmethod
    def shrink(self, less: int) -> None:
        """Give bytes back."""


@attrs.define
class Body:
    """What has come of a body, while all of it can be kept.

    Parameters
    ----------
    room : Room
        Bounds its memory.
    size : int
        Bytes that have come so far.
    whole : bool
        Whether all of them are still here.
    """

    room: Room
    size: int = 0
    whole: bool = True
    _held: int = 0
    _chunks: list[bytes] = attrs.field(factory=list)

    def write(self, chunk: bytes) -> None:
        """Add to the body."""
        self.size += len(chunk)
        if not self.whole:
            return
        self._chunks.append(chunk)
        self._held += len(chunk)
        has_room = self.room.grow(len(chunk))
        self.whole = has_room and self.size <= self.room.each

    def read(self, offset: int, most: int = 0) -> bytes:
        """Return a part of a body that is whole.

        Parameters
        ----------
        offset : int
            Where the part begins.
        most : int
            Length of the part at most; 0 for all there is.
        """
        joined = b''.join(self._chunks)
        self._chunks = [joined] if joined else []
        return joined[offset : offset + most if most else None]

    def clear(self) -> None:
        """Give the memory back."""
        self.whole = False
        self._chunks.clear()
        self.room.shrink(self._held)
        self._held = 0
