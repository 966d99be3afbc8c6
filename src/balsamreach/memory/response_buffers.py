"""Decides which responses wait until their readers have caught up.

Load pattern: many callers read a stream slowly, or not at all. Each response
may be buffered a little, but all of them together would exceed the memory.
"""

import attrs

#: Bytes of a response that may wait for its caller.
_MAX_WAITING_BYTES = 256 * 1024
#: The same while too many wait for all callers: about one read from a target.
_MIN_WAITING_BYTES = 16 * 1024


@attrs.define(eq=False)
class ResponseBuffers:
    """Counts the bytes of responses that wait for their readers.

    Parameters
    ----------
    capacity : int
        Bytes of all responses beyond which slow readers get less room each.
    used : int
        Bytes that wait.
    """

    capacity: int
    used: int = 0

    @property
    def excess(self) -> int:
        """Bytes that wait beyond the capacity."""
        return max(0, self.used - self.capacity)

    def is_full(self, waiting: int) -> bool:
        """Return whether a response must wait for its reader.

        Parameters
        ----------
        waiting : int
            Bytes of the response that wait.
        """
        if waiting > _MAX_WAITING_BYTES:
            return True
        return waiting > _MIN_WAITING_BYTES and self.used > self.capacity
