"""Where the answer to one caller goes."""

import abc
from collections.abc import Sequence


class Outlet(abc.ABC):
    """Writes one answer to its caller.

    Parameters
    ----------
    started : bool
        Whether the head has left, so that no other answer can be given.
    """

    started: bool = False

    @property
    @abc.abstractmethod
    def full(self) -> bool:
        """Whether the caller reads so slowly that reading should pause."""

    @abc.abstractmethod
    def start(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        """Send the head."""

    @abc.abstractmethod
    def write(self, chunk: bytes) -> None:
        """Send bytes of the body."""

    @abc.abstractmethod
    def finish(self) -> None:
        """End the answer in order."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Break the answer off, so that it can't be taken for whole."""
