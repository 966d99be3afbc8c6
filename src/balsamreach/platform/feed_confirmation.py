"""Confirms that a table holds all changes of before a question.

Load pattern: targets of another release join while one host is cut off or
suspended for seconds. Its callers come back with streams that these targets
began, before it has read that they exist.
"""

import asyncio

import attrs

from balsamreach.clock import Clock
from balsamreach.platform.feed import Feed
from balsamreach.platform.pages import PageSharing

#: Minimum seconds between two calls. After the loss of a zone the callers of
#: some hundred streams come to each host within a second or two.
_INTERVAL_S = 0.1
#: A call in progress may have been sent before the question; the one after it
#: was not.
_MAX_CALLS = 2


@attrs.define(eq=False)
class FeedConfirmation:
    """Asks the store for what a table lacks; callers share the calls.

    The age of the last answer tells too little: a release may appear, and
    begin a stream at another router, within less than any such bound.

    Parameters
    ----------
    feed : Feed
        The feed of the table.
    pages : PageSharing
        Knows whether this router reads the store itself.
    clock : Clock
        Source of the current time.
    """

    feed: Feed
    pages: PageSharing
    clock: Clock
    _checking: asyncio.Future[None] | None = None
    _checked_at: float = float('-inf')

    async def confirm(self, max_wait: float) -> bool:
        """Return whether the store has answered a call sent after this one.

        Routers that don't read the store themselves don't call it here either:
        there are hundreds of them, and their hubs can answer for them.

        Parameters
        ----------
        max_wait : float
            Seconds after which this returns at the latest.
        """
        asked_at = self.clock.now()
        try:
            async with asyncio.timeout(max_wait):
                return await self._confirm_since(asked_at)
        except TimeoutError:
            return False

    async def _confirm_since(self, asked_at: float) -> bool:
        for _ in range(_MAX_CALLS):
            if self.feed.is_unavailable() or not self.pages.reads_store():
                return False
            if self._checking is None or self._checking.done():
                self._checking = asyncio.ensure_future(self._check())
            await asyncio.wait({self._checking})
            if self.feed.confirmed_at() >= asked_at:
                return True
        return False

    async def _check(self) -> None:
        wait = self._checked_at + _INTERVAL_S - self.clock.now()
        if wait > 0:
            await self.clock.sleep(wait)
        self._checked_at = self.clock.now()
        await self.feed.check()
