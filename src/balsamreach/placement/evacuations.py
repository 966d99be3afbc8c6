"""Availability zones whose targets get no new work until that is lifted.

Load pattern: a zone's targets go at once while their share of the requests
comes on, and come back at once, some of them cold. Orders come from the store,
from hubs and from any peer, and overtake each other.
"""

import logging
from collections.abc import Iterator, Set

import attrs
import xxhash

from balsamreach.clock import Clock
from balsamreach.telemetry.logs import log_event

_logger = logging.getLogger(__name__)
_LONG_AGO = float('-inf')


@attrs.frozen(kw_only=True)
class Evacuation:
    """An order to evacuate a zone, or the end of one.

    Parameters
    ----------
    zone : str
        Availability zone of the targets.
    version : int
        Number of the change of the store that made it so.
    in_force : bool
        Whether the zone is to get nothing; False once it is lifted.
    """

    zone: str
    version: int
    in_force: bool


@attrs.define
class Evacuations:
    """The newest order for each zone that ever had one.

    A lifted one is kept, so that a late word of a peer can't bring it back.

    Parameters
    ----------
    clock : Clock
        Tells when an order was lifted.
    """

    clock: Clock
    _by_zone: dict[str, Evacuation] = attrs.field(factory=dict)
    _lifted_at: dict[str, float] = attrs.field(factory=dict)

    def __iter__(self) -> Iterator[Evacuation]:
        """Iterate over the newest order of each zone."""
        return iter(tuple(self._by_zone.values()))

    def covers(self, zone: str) -> bool:
        """Return whether a zone's targets get no new work."""
        order = self._by_zone.get(zone)
        return order is not None and order.in_force

    def lifted_at(self, zone: str) -> float:
        """Return monotonic seconds of the end of a zone's last evacuation."""
        return self._lifted_at.get(zone, _LONG_AGO)

    def put(self, order: Evacuation, source: str) -> bool:
        """Take an order in; False if a later one is known.

        Parameters
        ----------
        order : Evacuation
            What came.
        source : str
            The way it came, for the log.
        """
        known = self._by_zone.get(order.zone)
        if known is not None and order.version <= known.version:
            return False
        self._by_zone[order.zone] = order
        was_in_force = known is not None and known.in_force
        if was_in_force and not order.in_force:
            self._lifted_at[order.zone] = self.clock.now()
        if was_in_force != order.in_force:
            _log(order, source)
        return True

    def lift_besides(
        self,
        present: Set[str],
        version: int,
        source: str,
    ) -> tuple[Evacuation, ...]:
        """End the evacuations that a whole list lacks, and return these.

        Parameters
        ----------
        present : set of str
            Zones that the list has.
        version : int
            Version of the store at which the list was whole.
        source : str
            The way it came, for the log.
        """
        over = tuple(
            Evacuation(zone=order.zone, version=version, in_force=False)
            for order in self
            if order.in_force and order.zone not in present
        )
        return tuple(order for order in over if self.put(order, source))

    def digest(self) -> int:
        """Return a number that is the same where the same is known."""
        known = sorted((one.zone, one.version) for one in self)
        return xxhash.xxh3_64_intdigest(repr(known).encode()) if known else 0


def _log(order: Evacuation, source: str) -> None:
    log_event(
        _logger,
        logging.WARNING,
        'zone_evacuated' if order.in_force else 'zone_restored',
        target_zone=order.zone,
        row_version=order.version,
        source=source,
    )
