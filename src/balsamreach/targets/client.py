"""Abstract base of the client for the control calls to targets."""

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
    """Cache events from a sequence number on.

    Parameters
    ----------
    next_seq : int
        Sequence number at which the next request starts.
    events : tuple of CacheEvent
        In order, perhaps with gaps.
    """

    next_seq: int
    events: tuple[CacheEvent, ...] = ()


@attrs.frozen
class Order:
    """A control command to a target.

    Parameters
    ----------
    kind : str
        ``leave``, ``power_off`` or ``load_model``.
    fence : int
        Fencing number of the power row that the order follows from.
    incarnation : str
        The intended incarnation; a later one must refuse the order.
    model : str
        Model to load.
    """

    kind: str
    fence: int
    incarnation: str = ''
    model: str = ''


#: Called with the address of a target, and the status and headers of its
#: response.
HeadCallback = Callable[[str, int, Mapping[str, str]], None]


class TargetClient(abc.ABC):
    """Calls targets by their address.

    Parameters
    ----------
    on_head : callable or None
        Called with the headers of each response, names in lower case.
    """

    on_head: HeadCallback | None = None

    @abc.abstractmethod
    async def load(
        self,
        address: str,
        *,
        fresh: bool = False,
    ) -> LoadReport | TargetFault:
        """Request a load report, on a new connection if ``fresh``."""

    @abc.abstractmethod
    async def cache_events(
        self,
        address: str,
        since: int,
    ) -> CacheEvents | TargetFault:
        """Request cache events from a sequence number on."""

    @abc.abstractmethod
    async def order(self, address: str, order: Order) -> TargetFault | None:
        """Send an order once; None means that it was accepted."""
