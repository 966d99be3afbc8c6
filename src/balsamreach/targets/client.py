"""Abstract base of the client that asks targets and orders them."""

import abc
from collections.abc import Callable, Mapping

import attrs

from balsamreach.targets.faults import TargetFault
from balsamreach.targets.reports import LoadReport

LEAVE = 'leave'
POWER_OFF = 'power_off'
LOAD_MODEL = 'load_model'


@attrs.frozen
class CacheEvent:
    """A block that a target's prefix cache stored or evicted."""

    seq: int
    block: str
    stored: bool


@attrs.frozen
class CacheEvents:
    """Events from a sequence number on.

    Parameters
    ----------
    next_seq : int
        Where to go on asking.
    events : tuple of CacheEvent
        In order, perhaps with gaps.
    """

    next_seq: int
    events: tuple[CacheEvent, ...] = ()


@attrs.frozen
class Order:
    """An order to a target.

    Parameters
    ----------
    kind : str
        ``leave``, ``power_off`` or ``load_model``.
    fence : int
        Fencing number of the power row that the order follows from.
    incarnation : str
        The start that is meant; a later start must not obey.
    model : str
        What to load.
    """

    kind: str
    fence: int
    incarnation: str = ''
    model: str = ''


#: Takes the address of a target, and the status and headers of its answer.
HeadTaker = Callable[[str, int, Mapping[str, str]], None]


class TargetClient(abc.ABC):
    """Speaks to targets by their address.

    Parameters
    ----------
    on_head : callable or None
        Called with the head of each answer, header names in lower case.
    """

    on_head: HeadTaker | None = None

    @abc.abstractmethod
    async def load(
        self,
        address: str,
        *,
        fresh: bool = False,
    ) -> LoadReport | TargetFault:
        """Ask for a load report, on a new connection where ``fresh``."""

    @abc.abstractmethod
    async def cache_events(
        self,
        address: str,
        since: int,
    ) -> CacheEvents | TargetFault:
        """Ask for cache events from a sequence number on."""

    @abc.abstractmethod
    async def order(self, address: str, order: Order) -> TargetFault | None:
        """Send an order once; None means that it was taken."""
