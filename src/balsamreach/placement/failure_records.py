"""What is known of the failures of all targets."""

import attrs

from balsamreach.placement.failure_evidence import ZONE_PREFIX, TargetRecord
from balsamreach.placement.relay_targets import RelayTarget, RelayTargets
from balsamreach.placement.silent_exchanges import RunningExchanges

#: Records from which on those of targets that are gone are dropped.
_MIN_RECORDS = 64


@attrs.define
class FailureRecords:
    """The records of targets by incarnation, and those of zones.

    Parameters
    ----------
    places : RelayTargets
        All targets; records of other incarnations are dropped.
    exchanges : RunningExchanges
        Exchanges in progress.
    """

    places: RelayTargets
    exchanges: RunningExchanges
    _records: dict[str, TargetRecord] = attrs.field(factory=dict)
    _forget_at: int = _MIN_RECORDS

    def get(self, name: str) -> TargetRecord | None:
        """Return the record of an incarnation, None if there is none."""
        return self._records.get(name)

    def of(self, place: RelayTarget) -> TargetRecord:
        """Return the record of a target, a new one if there is none."""
        record = self._records.get(place.incarnation)
        if record is None:
            # Not for each new record: a fleet has up to 10,000 targets.
            if len(self._records) >= self._forget_at:
                self._forget_gone()
                kept = len(self._records)
                self._forget_at = max(_MIN_RECORDS, 2 * kept)
            record = TargetRecord()
            self._records[place.incarnation] = record
        return record

    def drop(self, place: RelayTarget) -> None:
        """Forget the failures of a target."""
        self._records.pop(place.incarnation, None)

    def of_zone(self, name: str) -> TargetRecord:
        """Return the record of reports on a zone."""
        return self._records.setdefault(f'{ZONE_PREFIX}{name}', TargetRecord())

    def has_reached_other(self, place: RelayTarget, oldest: float) -> bool:
        """Return whether the host of another target responded of late."""
        return any(
            record.reached_at >= oldest
            for name, record in self._records.items()
            if name != place.incarnation
        )

    def _forget_gone(self) -> None:
        for name in tuple(self._records):
            is_zone = name.startswith(ZONE_PREFIX)
            if not is_zone and self.places.find_incarnation(name) is None:
                self._records.pop(name)
                self.exchanges.forget(name)
