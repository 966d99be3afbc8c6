"""Background tasks of a router's budgets."""

import asyncio
from collections.abc import Iterable
from functools import partial

import attrs

from balsamreach.budget.book import HELD_TOKENS, LedgerBook
from balsamreach.budget.faults import CONTENDED, NO_ALLOTMENT, BudgetFault
from balsamreach.budget.moves import Move
from balsamreach.budget.pause_detector import TICK_INTERVAL_S, PauseDetector
from balsamreach.budget.peer_parts import PeerParts
from balsamreach.budget.recalling import Recaller
from balsamreach.budget.recorder import OLDEST, WAITING, BillRecorder
from balsamreach.budget.sizing import Sizing
from balsamreach.budget.takeover import Takeover
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

    book: LedgerBook
    sizing: Sizing
    recorder: BillRecorder
    takeover: Takeover
    peers: PeerParts | None
    metrics: Metrics
    recaller: Recaller = attrs.field(init=False)
    _rounds: int = 0
    _commit_teams: int = _MAX_COMMIT_TEAMS

    def __attrs_post_init__(self) -> None:
        """Register the handler for recalls of tokens."""
        net = self.peers.loans.net if self.peers else None
        self.recaller = Recaller(self.book, self.sizing, net)

    async def run_round(self) -> None:
        """Run all periodic work once."""
        self._rounds += 1
        await self.book.register()
        await self._move_all()
        await self.recorder.flush()
        if self._rounds > _ROUNDS_BEFORE_CLOSING:
            await self.takeover.close_predecessors()
        if self.peers is not None:
            await self._run_peer_tasks(self.peers)
        self._update_gauges()

    async def run(self, interval: float, pause_detector: PauseDetector) -> None:
        """Run rounds and ticks until cancelled.

        Parameters
        ----------
        interval : float
            Seconds between two rounds.
        pause_detector : PauseDetector
            Checks at each tick whether the process was paused.
        """
        loops = [
            self._register(),
            self._run_rounds(interval),
            self._run_ticks(pause_detector),
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
        while await self.book.register() == NO_ALLOTMENT:
            await self.book.clock.sleep(TICK_INTERVAL_S)

    async def _run_rounds(self, interval: float) -> None:
        while True:
            await self.book.clock.sleep(interval)
            await self.run_round()

    async def _run_ticks(self, pause_detector: PauseDetector) -> None:
        while True:
            await self.book.clock.sleep(TICK_INTERVAL_S)
            pause_detector.tick()
            self.copy_bills()

    async def _move_all(self) -> None:
        teams = tuple(self.book.ledgers)
        start = 0
        while start < len(teams):
            batch = teams[start : start + self._commit_teams]
            outcome = await self.book.apply_moves(
                partial(self._due_moves, batch)
            )
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
            self.sizing.due_move(self.book.ledgers[team]) for team in teams
        )
        return tuple(move for move in moves if move is not None)

    def _update_gauges(self) -> None:
        ledgers = self.book.ledgers.values()
        self.metrics.gauge(
            HELD_TOKENS, sum(ledger.unspent_granted for ledger in ledgers)
        )
        self.metrics.gauge(WAITING, self.recorder.waiting)
        self.metrics.gauge(OLDEST, self.recorder.oldest_age)
