"""The buffered body of an answer, and the limit on such memory."""

import abc

import attrs


class AnswerMemory(abc.ABC):
    """Limits the memory of all answers of a router.

    Parameters
    ----------
    max_bytes_each : int
        Maximum bytes of one answer.
    """

    max_bytes_each: int

    @abc.abstractmethod
    def allocate(self, size_bytes: int) -> bool:
        """Count more bytes; return whether the limit is kept."""

    @abc.abstractmethod
    def free(self, size_bytes: int) -> None:
        """Subtract freed bytes."""


@attrs.define
class Body:
    """Body received so far, held as long as it fits into the limit.

    Parameters
    ----------
    memory : AnswerMemory
        Limits its memory.
    size : int
        Bytes received so far.
    is_complete : bool
        Whether all received bytes are still held.
    """

    memory: AnswerMemory
    size: int = 0
    is_complete: bool = True
    _held_bytes: int = 0
    _chunks: list[bytes] = attrs.field(factory=list)

    def write(self, chunk: bytes) -> None:
        """Append to the body."""
        self.size += len(chunk)
        if not self.is_complete:
            return
        self._chunks.append(chunk)
        self._held_bytes += len(chunk)
        fits = self.memory.allocate(len(chunk))
        self.is_complete = fits and self.size <= self.memory.max_bytes_each

    def read(self, offset: int, limit: int = 0) -> bytes:
        """Return a part of the body, which must still be held completely.

        Parameters
        ----------
        offset : int
            Start of the part.
        limit : int
            Maximum length of the part; 0 for no limit.
        """
        joined = b''.join(self._chunks)
        self._chunks = [joined] if joined else []
        return joined[offset : offset + limit if limit else None]

    def clear(self) -> None:
        """Release the memory."""
        self.is_complete = False
        self._chunks.clear()
        self.memory.free(self._held_bytes)
        self._held_bytes = 0
