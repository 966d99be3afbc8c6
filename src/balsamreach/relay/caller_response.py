"""Abstract base of the response to one caller."""

import abc
from collections.abc import Sequence


class CallerResponse(abc.ABC):
    """Writes one response to its caller.

    Parameters
    ----------
    started : bool
        Whether the headers have been sent, so that no other response can be
        given.
    """

    started: bool = False

    @property
    @abc.abstractmethod
    def should_pause(self) -> bool:
        """Whether the caller is so slow that reading should pause."""

    @abc.abstractmethod
    def start(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        """Send the status and headers."""

    @abc.abstractmethod
    def write(self, chunk: bytes) -> None:
        """Send bytes of the body."""

    @abc.abstractmethod
    def finish(self) -> None:
        """End the response normally."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Abort the response, so that it can't look complete."""
