"""Decides which parts of prompts crash the targets that answer them.

Load pattern: requests of which no two are alike share one part, come at any
router, and each crashes its target as it begins to answer. Sound requests
share their team and their other parts, and are broken off beside them.
"""

import enum
from collections import OrderedDict

import attrs

_NEVER = float('-inf')
#: Crashes one after the other, without an answer in between, after which a
#: part is tried by one request at a time, and after which it is quarantined.
_TRIAL_BREAKS = 2
_QUARANTINE_BREAKS = 3
#: Seconds before a break within which an answer clears a part. The parts of
#: most requests are answered more often than that.
_ANSWERED_S = 2.0
#: Seconds from a break to the first trial at any router, and the seconds over
#: which the routers' first trials are spread, so that one of them shows the
#: others what happens.
_TRIAL_PAUSE_S = 0.5
_TRIAL_SPREAD_S = 2.0
#: Seconds for which other requests wait for the result of a trial.
_TRIAL_S = 1.0
#: Seconds after the last crash at which a quarantined part is tried again:
#: the targets may have been mended.
_QUARANTINE_S = 3600.0
_MAX_PARTS = 4096
_MAX_TARGETS = 64
_MAX_BREAKS = 16


class PartState(enum.Enum):
    """What may be done with requests that have a part."""

    FREE = 'free'
    ON_TRIAL = 'on_trial'
    QUARANTINED = 'quarantined'


@attrs.frozen
class PartKey:
    """A part of the prompts for one model of a service.

    Parameters
    ----------
    service, model : str
        Service and model; others may bear the part.
    part : str
        Identity of the part.
    """

    service: str
    model: str
    part: str


@attrs.frozen
class PartBreak:
    """A connection that broke before a prompt with the part was answered.

    Parameters
    ----------
    target : str
        Incarnation of the target.
    fingerprint : str
        The request.
    sent_at, broke_at : float
        Monotonic seconds at which it was sent and its connection broke.
    """

    target: str
    fingerprint: str
    sent_at: float
    broke_at: float


@attrs.define(eq=False)
class PartRecord:
    """What is known of a suspected part.

    Parameters
    ----------
    targets : set of str
        Targets at whose crashes it was present.
    tried_at : float
        Monotonic seconds of the last trial.
    quarantined_at : float or None
        Monotonic seconds at which its quarantine began, None if it has not.
    """

    targets: set[str] = attrs.field(factory=set)
    tried_at: float = _NEVER
    quarantined_at: float | None = None
    _known: list[PartBreak] = attrs.field(factory=list)

    @property
    def breaks(self) -> list[PartBreak]:
        """Breaks that count, in their order.

        Targets that crash at the same moment have a common cause elsewhere,
        so each request must have been sent after the crash before.
        """
        counted: list[PartBreak] = []
        for broken in self._known:
            if not counted or broken.sent_at >= counted[-1].broke_at:
                counted.append(broken)
        return counted

    @property
    def last_break_at(self) -> float:
        """Monotonic seconds of the last break that counts."""
        breaks = self.breaks
        return breaks[-1].broke_at if breaks else _NEVER

    def add(self, broken: PartBreak) -> bool:
        """Add a break; return whether more breaks count than before.

        Routers report breaks in any order. A request that its caller sends
        again is found by its fingerprint, and does not count here.
        """
        if len(self.targets) < _MAX_TARGETS:
            self.targets.add(broken.target)
        if any(
            broken.target == one.target or broken.fingerprint == one.fingerprint
            for one in self._known
        ):
            return False
        before = len(self.breaks)
        self._known.append(broken)
        self._known.sort(key=_broken_at)
        if len(self._known) > _MAX_BREAKS:
            self._known = self.breaks[-_MAX_BREAKS:]
        return len(self.breaks) > before

    def is_proven(self, others_answered_at: float) -> bool:
        """Return whether the breaks show that the part crashes targets.

        Parameters
        ----------
        others_answered_at : float
            Monotonic seconds at which a request without it was answered.
        """
        breaks = self.breaks
        if len(breaks) < _QUARANTINE_BREAKS:
            return False
        return others_answered_at >= breaks[0].broke_at


def _broken_at(broken: PartBreak) -> float:
    return broken.broke_at


@attrs.define(eq=False)
class PartSuspects:
    """Records of parts that may crash targets, bounded by number.

    A part is suspected while it is present at crashes and no prompt with it
    is answered. It is quarantined only if the service has answered others
    meanwhile: otherwise the service itself may be at fault.
    """

    _records: OrderedDict[PartKey, PartRecord] = attrs.field(
        factory=OrderedDict
    )
    _answered: OrderedDict[PartKey, float] = attrs.field(factory=OrderedDict)
    _services: dict[str, float] = attrs.field(factory=dict)

    def record_break(self, key: PartKey, broken: PartBreak) -> bool:
        """Return whether a break counts against a part, and record it if so.

        Parameters
        ----------
        key : PartKey
            The part.
        broken : PartBreak
            The break.
        """
        if self.clears(key, broken.broke_at):
            return False
        record = self._records.setdefault(key, PartRecord())
        self._records.move_to_end(key)
        _evict(self._records)
        if not record.add(broken):
            return False
        # A part that was quarantined has crashed another target when it was
        # tried again.
        others_at = self._services.get(key.service, _NEVER)
        if record.quarantined_at is not None or record.is_proven(others_at):
            record.quarantined_at = record.last_break_at
        return True

    def record_answer(self, key: PartKey, at: float) -> bool:
        """Record that a prompt with a part was answered.

        Parameters
        ----------
        key : PartKey
            The part.
        at : float
            Monotonic seconds at which it was answered.

        Returns
        -------
        bool
            Whether the part was suspected until then.
        """
        self._answered[key] = max(at, self._answered.get(key, at))
        self._answered.move_to_end(key)
        _evict(self._answered)
        record = self._records.get(key)
        if record is None or at < record.last_break_at - _ANSWERED_S:
            return False
        self._records.pop(key)
        return True

    def record_service_answer(self, service: str, at: float) -> None:
        """Record that a target of a service has answered any request."""
        self._services[service] = at

    def record_trial(self, key: PartKey, at: float) -> bool:
        """Record that a suspected part is tried, here or at another router.

        Returns
        -------
        bool
            Whether no trial was in progress, as far as this router knew.
        """
        record = self._records.get(key)
        if record is None or at < record.tried_at + _TRIAL_S:
            return False
        record.tried_at = at
        return True

    def quarantine(self, key: PartKey, at: float) -> bool:
        """Quarantine a part that another router has found to crash targets.

        Returns
        -------
        bool
            Whether this router did not know it.
        """
        if self.clears(key, at):
            return False
        record = self._records.setdefault(key, PartRecord())
        was_known = record.quarantined_at is not None
        record.quarantined_at = max(at, record.quarantined_at or at)
        _evict(self._records)
        return not was_known

    def clears(self, key: PartKey, at: float) -> bool:
        """Return whether an answer shows that a part caused no crash then."""
        return self.answered_at(key) >= at - _ANSWERED_S

    def answered_at(self, key: PartKey) -> float:
        """Return when a prompt with a part was last answered."""
        return self._answered.get(key, _NEVER)

    def state(self, key: PartKey, now: float) -> PartState:
        """Return what may be done with requests that have a part."""
        record = self._records.get(key)
        if record is None:
            return PartState.FREE
        if record.quarantined_at is not None:
            is_over = now - record.quarantined_at >= _QUARANTINE_S
            return PartState.ON_TRIAL if is_over else PartState.QUARANTINED
        if len(record.breaks) < _TRIAL_BREAKS:
            return PartState.FREE
        return PartState.ON_TRIAL

    def may_try(self, key: PartKey, now: float, position: float) -> bool:
        """Return whether a request with a part on trial may be sent now.

        Parameters
        ----------
        key : PartKey
            The part.
        now : float
            Monotonic seconds.
        position : float
            This router's position among all routers for the part, from 0 to 1.
        """
        record = self._records[key]
        opens_at = record.last_break_at + _TRIAL_PAUSE_S
        opens_at += position * _TRIAL_SPREAD_S
        return now >= opens_at and now - record.tried_at >= _TRIAL_S

    def find(self, key: PartKey) -> PartRecord | None:
        """Return what is known of a part, None if it is not suspected."""
        return self._records.get(key)

    def quarantined(self) -> tuple[tuple[PartKey, float], ...]:
        """Return all quarantined parts, and when each quarantine began."""
        return tuple(
            (key, record.quarantined_at)
            for key, record in self._records.items()
            if record.quarantined_at is not None
        )

    def suspected(self) -> tuple[tuple[PartKey, PartBreak], ...]:
        """Return the breaks that count against parts on trial."""
        return tuple(
            (key, broken)
            for key, record in self._records.items()
            if record.quarantined_at is None
            and len(record.breaks) >= _TRIAL_BREAKS
            for broken in record.breaks
        )

    def is_empty(self) -> bool:
        """Return whether no part is suspected."""
        return not self._records


def _evict(records: OrderedDict[PartKey, object]) -> None:
    while len(records) > _MAX_PARTS:
        records.popitem(last=False)
