"""Background tasks of a router's budgets."""

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
from balsamreach.budget.wakeup import TICK_INTERVAL_S, Wakeup
from balsamreach.telemetry.metrics import Metrics

_MAX_COMMIT_TEAMS = 50
#: Rounds during which backup peers can settle a predecessor's bills before its
#: allotments are closed.
_ROUNDS_BEFORE_CLOSING = 3
#: Rounds between two attempts to reclaim tokens that stopped routers may have
#: lent.
_ROUNDS_BETWEEN_RECLAIMS = 75


@attrs.define
class Upkeep:
    """Draws, returns, records and reclaims tokens in periodic rounds.

    Parameters
    ----------
    book, sizing, recorder, takeover
        The components that it runs.
    peers : PeerParts or None
        Components that use the peer network; None without peers.
    metrics : Metrics
        Gauges of held tokens and waiting bills.
    """

    book: Book
    sizing: Sizing
    recorder: BillRecorder
    takeover: Takeover
    peers: PeerParts | None
    metrics: Metrics
    recalls: Recalls = attrs.field(init=False)
    _rounds: int = 0
    _commit_teams: int = _MAX_COMMIT_TEAMS

    def __attrs_post_init__(self) -> None:
        """Register the handler for recalls of tokens."""
        net = self.peers.loans.net if self.peers else None
        self.recalls = Recalls(self.book, self.sizing, net)

    async def round(self) -> None:
        """Run all periodic work once."""
        self._rounds += 1
        await self.book.enter()
        await self._move_all()
        await self.recorder.flush()
        if self._rounds > _ROUNDS_BEFORE_CLOSING:
            await self.takeover.close_predecessors()
        if self.peers is not None:
            await self._run_peer_tasks(self.peers)
        self._update_gauges()

    async def run(self, interval: float, wakeup: Wakeup) -> None:
        """Run rounds and ticks until cancelled.

        Parameters
        ----------
        interval : float
            Seconds between two rounds.
        wakeup : Wakeup
            Checks at each tick whether the process was paused.
        """
        loops = [
            self._register(),
            self._run_rounds(interval),
            self._run_ticks(wakeup),
        ]
        if self.peers is not None:
            loops.append(self.peers.copier.run())
        await asyncio.gather(*loops)

    def copy_bills(self) -> None:
        """Update the copies of waiting bills at the backup peer."""
        self.recorder.uncopied.take()
        if self.peers is not None:
            self.peers.sender.send(self.recorder.bills())

    async def _run_peer_tasks(self, peers: PeerParts) -> None:
        await peers.loans.send_receipts()
        await peers.keeper.settle_stopped()
        if self._rounds % _ROUNDS_BETWEEN_RECLAIMS == 0:
            await peers.reclaimer.reclaim_all()

    async def _register(self) -> None:
        # Until the entry of this router is stored, nothing proves that its
        # predecessor has stopped, and backup peers can't settle the bills of
        # that one. The first round would write it only after an interval.
        while await self.book.enter() == NO_ALLOTMENT:
            await self.book.clock.sleep(TICK_INTERVAL_S)

    async def _run_rounds(self, interval: float) -> None:
        while True:
            await self.book.clock.sleep(interval)
            await self.round()

    async def _run_ticks(self, wakeup: Wakeup) -> None:
        while True:
            await self.book.clock.sleep(TICK_INTERVAL_S)
            wakeup.tick()
            self.copy_bills()

    async def _move_all(self) -> None:
        teams = tuple(self.book.ledgers)
        start = 0
        while start < len(teams):
            batch = teams[start : start + self._commit_teams]
            outcome = await self.book.move(partial(self._due_moves, batch))
            if outcome == CONTENDED and len(batch) > 1:
                # One contended account blocks all others in the same commit,
                # so the next commit is made smaller.
                self._commit_teams = len(batch) // 2
                continue
            if isinstance(outcome, BudgetFault) and outcome != CONTENDED:
                return
            start += len(batch)
            self._commit_teams = min(_MAX_COMMIT_TEAMS, self._commit_teams + 1)

    def _due_moves(self, teams: Iterable[str]) -> tuple[Move, ...]:
        moves = (
            self.sizing.in_background(self.book.ledgers[team]) for team in teams
        )
        return tuple(move for move in moves if move is not None)

    def _update_gauges(self) -> None:
        ledgers = self.book.ledgers.values()
        self.metrics.gauge(HELD, sum(ledger.own for ledger in ledgers))
        self.metrics.gauge(WAITING, self.recorder.waiting)
        self.metrics.gauge(OLDEST, self.recorder.oldest_age)
