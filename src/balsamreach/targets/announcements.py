"""Applies what targets announce in their response headers."""

import asyncio
import logging
from collections.abc import Mapping
from weakref import WeakKeyDictionary

import attrs

from balsamreach.clock import Clock
from balsamreach.retry_after import read_retry_after
from balsamreach.targets.leaving_marks import FROM_ANSWER, LeavingMarks
from balsamreach.targets.poller import LoadPoller
from balsamreach.targets.registry import Target
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics

#: Header that names the incarnation that is leaving.
LEAVING_HEADER = 'x-leaving'
#: Minimum seconds between polls of a target whose header names another
#: incarnation than the known one.
_POLL_PAUSE_S = 1.0
_DOUBTED = 'balsamreach_target_announcements_doubted_total'
_BACK_OFFS = 'balsamreach_target_back_offs_total'

_logger = logging.getLogger(__name__)


@attrs.define(eq=False)
class Announcements:
    """Applies announcements of leaving and back-off to targets.

    Parameters
    ----------
    marks : LeavingMarks
        Sets leaving marks and sends them to peers.
    poller : LoadPoller
        Polls a target whose announcement has to be confirmed.
    clock : Clock
        Source of the current time.
    metrics : Metrics
        Counts announcements.
    """

    marks: LeavingMarks
    poller: LoadPoller
    clock: Clock
    metrics: Metrics
    _polled_at: WeakKeyDictionary[Target, float] = attrs.field(
        factory=WeakKeyDictionary,
    )
    _polls: set[asyncio.Task] = attrs.field(factory=set)

    def apply(
        self,
        target: Target,
        status: int,
        headers: Mapping[str, str],
    ) -> None:
        """Apply the headers of a target's response, names in lower case."""
        retry_after = read_retry_after(status, headers)
        if retry_after:
            self._back_off(target, retry_after)
        self._apply_leaving(target, headers)

    def take_by_address(
        self,
        address: str,
        status: int,
        headers: Mapping[str, str],
    ) -> None:
        """Apply the headers of a response to any other call of a target."""
        # Without an announcement there is no need to look up the targets.
        announces = LEAVING_HEADER in headers or read_retry_after(
            status, headers
        )
        for target in (
            self.marks.targets.at_address(address) if announces else ()
        ):
            self.apply(target, status, headers)

    def _back_off(self, target: Target, retry_after: float) -> None:
        now = self.clock.now()
        is_new = target.retry_at <= now
        # Several rows may have the same address.
        for other in self.marks.targets.at_address(target.row.address):
            other.retry_at = max(other.retry_at, now + retry_after)
        self.metrics.count(_BACK_OFFS)
        if is_new:
            log_event(
                _logger,
                logging.INFO,
                'target_backs_off',
                target=target.name,
                incarnation=target.report.incarnation,
                retry_after=retry_after,
            )

    def _apply_leaving(
        self,
        target: Target,
        headers: Mapping[str, str],
    ) -> None:
        """Mark a target whose header announces that it leaves.

        Only the incarnation that this router knows is marked directly. A
        delayed response of the previous incarnation, or a header that a
        service copied from elsewhere, would otherwise permanently mark an
        incarnation that never announced its leaving, and its host would stay
        unused. In any other case the target is polled.
        """
        named = headers.get(LEAVING_HEADER)
        if not named or target.marked:
            return
        if named == target.report.incarnation:
            self.marks.mark(target, named, FROM_ANSWER)
            return
        self._poll_if_due(target, named)

    def _poll_if_due(self, target: Target, named: str) -> None:
        now = self.clock.now()
        if now - self._polled_at.get(target, -_POLL_PAUSE_S) < _POLL_PAUSE_S:
            return
        self._polled_at[target] = now
        self.metrics.count(_DOUBTED)
        polling = asyncio.create_task(self._poll(target, named))
        self._polls.add(polling)
        polling.add_done_callback(self._polls.discard)

    async def _poll(self, target: Target, named: str) -> None:
        await self.poller.poll(target)
        # Before its first poll of a target a router knows no incarnation. If
        # the announcement were dropped then, a target that announces its
        # leaving only in responses, and gets no further request from this
        # router, would never be marked.
        if named == target.report.incarnation and not target.marked:
            self.marks.mark(target, named, FROM_ANSWER)
