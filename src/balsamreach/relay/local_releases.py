"""What this router itself knows of the release that began a stream."""

from collections.abc import Callable, Mapping

import attrs

from balsamreach.clock import Clock
from balsamreach.placement.service_releases import ServiceReleases
from balsamreach.relay.release_inquiry import ONLY, RECORD
from balsamreach.relay.release_records import ReleaseRecords
from balsamreach.wire.releases import ReleaseAsk, ReleaseTold

_MS = 1000


@attrs.frozen
class RunningStream:
    """A stream in progress here, whose caller has events.

    Parameters
    ----------
    service : str
        Its service.
    release : str
        Release of its target.
    keep : float
        Seconds for which its caller may return.
    """

    service: str
    release: str
    keep: float


@attrs.frozen(eq=False)
class LocalReleases:
    """Answers a question from this router's memory and its list of targets.

    Parameters
    ----------
    services : ServiceReleases
        The releases of the listed targets.
    records : ReleaseRecords
        Streams of which this router knows the release.
    running : mapping of int to RunningStream
        Streams in progress here, by digest.
    check_list : callable
        Records whether the list is outdated.
    clock : Clock
        Source of the current time.
    """

    services: ServiceReleases
    records: ReleaseRecords
    running: Mapping[int, RunningStream]
    check_list: Callable[[], None]
    clock: Clock

    async def confirm(self, ask: ReleaseAsk, max_wait: float) -> bool:
        """Return whether the list has all targets of before this call.

        A stream that is taken up now began at one of them. Nothing is read if
        this router has a record, or can't conclude anything from its list.

        Parameters
        ----------
        ask : ReleaseAsk
            The question.
        max_wait : float
            Seconds after which this returns at the latest.
        """
        self.check_list()
        seen = self.services.seen(ask.service, ask.within_s)
        if len(seen) != 1 or self._has_record(ask.key):
            return False
        is_confirmed = await self.services.confirm(max_wait)
        # The call may have ended a time in which the list was outdated.
        self.check_list()
        return is_confirmed

    def tell(self, ask: ReleaseAsk, *, is_confirmed: bool) -> ReleaseTold:
        """Return what this router knows.

        Without a record the release follows from the list, which has to be
        confirmed: other routers may have begun the stream at a target that
        this one hasn't read of yet.

        Parameters
        ----------
        ask : ReleaseAsk
            The question.
        is_confirmed : bool
            Whether ``confirm`` returned True since the question was asked.
        """
        told = ReleaseTold(
            seen=self.services.seen(ask.service, ask.within_s),
            remembers=self.services.remembers(ask.service, ask.within_s),
        )
        running = self.running.get(ask.key)
        if running is not None:
            return attrs.evolve(told, release=running.release, basis=RECORD)
        record = self.records.find(ask.key)
        if record is not None:
            age = self.clock.now() - record.learnt_at
            return attrs.evolve(
                told,
                release=record.release,
                basis=RECORD,
                age_ms=round(age * _MS),
            )
        only = self.services.only_release(ask.service, ask.within_s)
        if only is None or not is_confirmed:
            return told
        return attrs.evolve(told, release=only, basis=ONLY)

    def _has_record(self, key: int) -> bool:
        return key in self.running or self.records.find(key) is not None
