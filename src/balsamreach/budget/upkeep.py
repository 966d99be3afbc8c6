"""What a router does for its budgets beside serving requests."""

import asyncio
from collections.abc import Iterable
from functools import partial

import attrs

from balsamreach.budget.book import HELD, Book
from balsamreach.budget.faults import CONTENDED, NO_ALLOTMENT, BudgetFault
from balsamreach.budget.moves import Move
from balsamreach.budget.peer_parts import PeerParts
from balsamreach.budget.recalling import Recalls
from balsamreach.budget.recorder import OLDEST, WAITING, BillRecorder
from balsamreach.budget.sizing import Sizing
from balsamreach.budget.takeover import Takeover
from balsamreach.budget.wakeup import BEAT_S, Wakeup
from balsamreach.telemetry.metrics import Metrics

_MOST_TEAMS = 50
#: Rounds for which buddies have time to settle a predecessor's bills.
_ROUNDS_BEFORE_CLOSING = 3
#: Rounds between two looks at what dead routers may have lent.
_ROUNDS_BETWEEN_LOOKS = 75


@attrs.define
class Upkeep:
    """Draws ahead, returns, records, lends and takes over, in rounds.

    Parameters
    ----------
    book, sizing, recorder, takeover
        The parts it drives.
    peers : PeerParts or None
        None for a router without peers.
    metrics : Metrics
        Shows what is held and waiting.
    """

    book: Book
    sizing: Sizing
    recorder: BillRecorder
    takeover: Takeover
    peers: PeerParts | None
    metrics: Metrics
    recalls: Recalls = attrs.field(init=False)
    _rounds: int = 0
    _teams: int = _MOST_TEAMS

    def __attrs_post_init__(self) -> None:
        """Take asks to hand tokens back."""
        net = self.peers.loans.net if self.peers else None
        self.recalls = Recalls(self.book, self.sizing, net)

    async def round(self) -> None:
        """Do everything that is due once."""
        self._rounds += 1
        await self.book.enter()
        await self._move_all()
        await self.recorder.flush()
        if self._rounds > _ROUNDS_BEFORE_CLOSING:
            await self.takeover.close_predecessors()
        if self.peers is not None:
            await self._look_after_others(self.peers)
        self._show()

    async def run(self, interval: float, wakeup: Wakeup) -> None:
        """Do rounds and beats until cancelled.

        Parameters
        ----------
        interval : float
            Seconds between two rounds.
        wakeup : Wakeup
            Looks at the clock at each beat.
        """
        loops = [self._enter(), self._run_rounds(interval), self._beat(wakeup)]
        if self.peers is not None:
            loops.append(self.peers.copier.run())
        await asyncio.gather(*loops)

    def copy_bills(self) -> None:
        """Bring the buddy's copies of waiting bills up to date."""
        self.recorder.uncopied.take()
        if self.peers is not None:
            self.peers.sender.send(self.recorder.bills())

    async def _look_after_others(self, peers: PeerParts) -> None:
        await peers.loans.send_receipts()
        await peers.keeper.settle_stopped()
        if self._rounds % _ROUNDS_BETWEEN_LOOKS == 0:
            await peers.reclaimer.reclaim_all()

    async def _enter(self) -> None:
        # Until this router stands in the row of its address, nobody has
        # proof that its predecessor is gone, and that one's bills wait at
        # the buddies; a first round would come only after an interval.
        while await self.book.enter() == NO_ALLOTMENT:
            await self.book.clock.sleep(BEAT_S)

    async def _run_rounds(self, interval: float) -> None:
        while True:
            await self.book.clock.sleep(interval)
            await self.round()

    async def _beat(self, wakeup: Wakeup) -> None:
        while True:
            await self.book.clock.sleep(BEAT_S)
            wakeup.beat()
            self.copy_bills()

    async def _move_all(self) -> None:
        teams = tuple(self.book.ledgers)
        start = 0
        while start < len(teams):
            part = teams[start : start + self._teams]
            outcome = await self.book.move(partial(self._due, part))
            if outcome == CONTENDED and len(part) > 1:
                # One busy account holds up all that share a commit with it,
                # so fewer share the next one.
                self._teams = len(part) // 2
                continue
            if isinstance(outcome, BudgetFault) and outcome != CONTENDED:
                return
            start += len(part)
            self._teams = min(_MOST_TEAMS, self._teams + 1)

    def _due(self, teams: Iterable[str]) -> tuple[Move, ...]:
        moves = (
            self.sizing.in_background(self.book.ledgers[team]) for team in teams
        )
        return tuple(move for move in moves if move is not None)

    def _show(self) -> None:
        ledgers = self.book.ledgers.values()
        self.metrics.gauge(HELD, sum(ledger.own for ledger in ledgers))
        self.metrics.gauge(WAITING, self.recorder.waiting)
        self.metrics.gauge(OLDEST, self.recorder.oldest_age)
