"""What all parts of fleet-wide rates share: routers counted, words sent."""

from collections.abc import Callable

import attrs

from balsamreach.clock import Clock
from balsamreach.peers.base import PeerNet
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.base import Message
from balsamreach.wire.membership import Member

#: Part of the routers that may be lost without being counted.
_FEW = 1 / 8
#: Seconds between two counts of the routers.
_COUNT_EVERY = 1.0
_WORDS = 'balsamreach_rate_words_total'
_COUNTED = 'balsamreach_rate_routers_counted'
_HEARD = 'balsamreach_rate_routers_heard'
_AGE = 'balsamreach_rate_shares_age_seconds'


@attrs.define(eq=False)
class RatePost:
    """Counts the routers, and sends words to them.

    Parameters
    ----------
    clock : Clock
        Time.
    net : PeerNet
        Other routers.
    metrics : Metrics
        Counters of words.
    counted : int
        Routers among which limits are shared.
    """

    clock: Clock
    net: PeerNet
    metrics: Metrics
    counted: int = 1
    _window: int = 0
    _counted_at: float = float('-inf')

    def next_window(self) -> int:
        """Return the number of this router's next word."""
        self._window += 1
        return self._window

    def send(
        self,
        member: Member,
        message: Message,
        here: Callable[[Member, Message], None],
    ) -> None:
        """Send a word, or hand it over if it is to this router.

        Parameters
        ----------
        member : Member
            To whom.
        message : Message
            The word.
        here : callable
            Takes the sender and the word.
        """
        if member.incarnation == self.net.me.incarnation:
            here(self.net.me, message)
        elif not self.net.tell(member.incarnation, message):
            self.note('unsent')

    def note(self, outcome: str) -> None:
        """Count a word by what became of it."""
        self.metrics.count(_WORDS, outcome=outcome)

    def show(self, *, heard: int, age: float) -> None:
        """Show whose demand the shares follow, and how old they are."""
        self.metrics.gauge(_HEARD, heard)
        self.metrics.gauge(_AGE, age)

    def count(self) -> None:
        """Count the routers, once a second at most."""
        now = self.clock.now()
        if now - self._counted_at < _COUNT_EVERY:
            return
        self._counted_at = now
        # The far side of a partition is called dead after a while. Its even
        # shares are left to it as long as it is remembered, or both sides
        # would use the whole rate; a router that comes back on its address
        # takes the place of its dead one. Few are taken for dead indeed:
        # left to them as well, a team would be refused within its rate for
        # an hour after each failure of a host, where they could add no more
        # to it than these few even shares.
        members = self.net.members()
        held = {member.address for member in members}
        lost = [
            member
            for member in self.net.departed()
            if not member.leaving and member.address not in held
        ]
        every = len(members) + len(lost)
        few = len(lost) <= every * _FEW
        self.counted = max(1, len(members) if few else every)
        self.metrics.gauge(_COUNTED, self.counted)
