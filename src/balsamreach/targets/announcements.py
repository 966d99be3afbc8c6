"""What targets say of themselves in the heads of their answers."""

import asyncio
import logging
from collections.abc import Mapping
from weakref import WeakKeyDictionary

import attrs

from balsamreach.clock import Clock
from balsamreach.retry_after import read_retry_after
from balsamreach.targets.marks import FROM_ANSWER, Marks
from balsamreach.targets.poller import LoadPoller
from balsamreach.targets.registry import Target
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics

#: Names the start that is leaving.
LEAVING_HEADER = 'x-leaving'
#: Seconds between two looks at a target whose header names another start.
_PAUSE = 1.0
_DOUBTED = 'balsamreach_target_announcements_doubted_total'
_BACK_OFFS = 'balsamreach_target_back_offs_total'

_logger = logging.getLogger(__name__)


@attrs.define(eq=False)
class Announcements:
    """Heeds targets that leave, or want no requests for a while.

    Parameters
    ----------
    marks : Marks
        Where a mark is set and told to peers.
    loads : LoadPoller
        Asks a target whose word can't be believed as it stands.
    """

    marks: Marks
    loads: LoadPoller
    clock: Clock
    metrics: Metrics
    _looked: WeakKeyDictionary[Target, float] = attrs.field(
        factory=WeakKeyDictionary,
    )
    _looks: set[asyncio.Task] = attrs.field(factory=set)

    def take(
        self,
        target: Target,
        status: int,
        headers: Mapping[str, str],
    ) -> None:
        """Take the head of a target's answer, header names in lower case."""
        retry_after = read_retry_after(status, headers)
        if retry_after:
            self._back_off(target, retry_after)
        self._take_leaving(target, headers)

    def take_from(
        self,
        address: str,
        status: int,
        headers: Mapping[str, str],
    ) -> None:
        """Take the head of an answer to anything else asked of a target."""
        # Hosts that say nothing of themselves are not looked for.
        says = LEAVING_HEADER in headers or read_retry_after(status, headers)
        for target in self.marks.targets.at_address(address) if says else ():
            self.take(target, status, headers)

    def _back_off(self, target: Target, retry_after: float) -> None:
        now = self.clock.now()
        is_news = target.retry_at <= now
        # Several rows may lead to one host.
        for other in self.marks.targets.at_address(target.row.address):
            other.retry_at = max(other.retry_at, now + retry_after)
        self.metrics.count(_BACK_OFFS)
        if is_news:
            log_event(
                _logger,
                logging.INFO,
                'target_backs_off',
                target=target.name,
                incarnation=target.report.incarnation,
                retry_after=retry_after,
            )

    def _take_leaving(
        self,
        target: Target,
        headers: Mapping[str, str],
    ) -> None:
        """Mark a target that says that it leaves.

        Only the start that this router believes in can be marked so. An
        answer of the start before, held up on its way, or a header that a
        service copied from somewhere would otherwise mark a start for good
        that never said it leaves; it would show as a host that stays unused.
        Any other word is a reason to ask the target itself.
        """
        named = headers.get(LEAVING_HEADER)
        if not named or target.marked:
            return
        if named == target.report.incarnation:
            self.marks.mark(target, named, FROM_ANSWER)
            return
        self._look(target, named)

    def _look(self, target: Target, named: str) -> None:
        now = self.clock.now()
        if now - self._looked.get(target, -_PAUSE) < _PAUSE:
            return
        self._looked[target] = now
        self.metrics.count(_DOUBTED)
        looking = asyncio.create_task(self._ask(target, named))
        self._looks.add(looking)
        looking.add_done_callback(self._looks.discard)

    async def _ask(self, target: Target, named: str) -> None:
        await self.loads.poll(target)
        # Before its first look a router believes in no start at all. Were
        # the word dropped then, a target that says so in its answers alone,
        # and gets no further request here, would never be marked.
        if named == target.report.incarnation and not target.marked:
            self.marks.mark(target, named, FROM_ANSWER)
