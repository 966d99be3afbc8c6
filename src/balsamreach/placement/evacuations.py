"""Availability zones that get no new requests until they are restored.

Load pattern: all targets of a zone stop taking requests at once while their
share of the requests keeps arriving; later all of them return at once, some
of them cold. Evacuation orders come from the store, from hubs and from any
peer, and may arrive out of order.
"""

import logging
from collections.abc import Iterator, Set

import attrs
import xxhash

from balsamreach.clock import Clock
from balsamreach.telemetry.logs import log_event

_logger = logging.getLogger(__name__)
_NEVER = float('-inf')


@attrs.frozen(kw_only=True)
class Evacuation:
    """An order to evacuate a zone, or to end its evacuation.

    Parameters
    ----------
    zone : str
        Availability zone of the targets.
    version : int
        Store version of the change that gave the order.
    in_force : bool
        True if the zone gets no new requests, False if it is restored.
    """

    zone: str
    version: int
    in_force: bool


@attrs.define
class Evacuations:
    """The newest order for each zone that ever had one.

    Orders that are no longer in force are kept, so that a late message of a
    peer can't bring them back.

    Parameters
    ----------
    clock : Clock
        Gives the time at which an evacuation ends.
    """

    clock: Clock
    _orders: dict[str, Evacuation] = attrs.field(factory=dict)
    _lifted_at: dict[str, float] = attrs.field(factory=dict)

    def __iter__(self) -> Iterator[Evacuation]:
        """Iterate over the newest order of each zone."""
        return iter(tuple(self._orders.values()))

    def covers(self, zone: str) -> bool:
        """Return whether a zone is evacuated."""
        order = self._orders.get(zone)
        return order is not None and order.in_force

    def lifted_at(self, zone: str) -> float:
        """Return when a zone's last evacuation ended, in monotonic seconds.

        Minus infinity if this router has seen none end.
        """
        return self._lifted_at.get(zone, _NEVER)

    def put(self, order: Evacuation, source: str) -> bool:
        """Apply an order; return False if one as new or newer is known.

        Parameters
        ----------
        order : Evacuation
            The order.
        source : str
            Where it came from, for the log.
        """
        known = self._orders.get(order.zone)
        if known is not None and order.version <= known.version:
            return False
        self._orders[order.zone] = order
        was_in_force = known is not None and known.in_force
        if was_in_force and not order.in_force:
            self._lifted_at[order.zone] = self.clock.now()
        if was_in_force != order.in_force:
            _log(order, source)
        return True

    def end_missing(
        self,
        present: Set[str],
        version: int,
        source: str,
    ) -> tuple[Evacuation, ...]:
        """End the evacuations that a complete list lacks.

        Parameters
        ----------
        present : set of str
            Zones in the list.
        version : int
            Store version of the list.
        source : str
            Where the list came from, for the log.

        Returns
        -------
        tuple of Evacuation
            The orders that end these evacuations.
        """
        ended = tuple(
            Evacuation(zone=order.zone, version=version, in_force=False)
            for order in self
            if order.in_force and order.zone not in present
        )
        return tuple(order for order in ended if self.put(order, source))

    def digest(self) -> int:
        """Return a hash of the known orders; 0 if there are none.

        Routers that know the same orders have the same digest.
        """
        known = sorted((order.zone, order.version) for order in self)
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
