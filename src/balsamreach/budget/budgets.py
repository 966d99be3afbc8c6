"""Budgets of all teams at one router: reserve, bill, draw and settle."""

import random

import attrs

from balsamreach.budget.account import Bill
from balsamreach.budget.account_drawer import AccountDrawer
from balsamreach.budget.book import LedgerBook
from balsamreach.budget.closing import AllotmentCloser
from balsamreach.budget.faults import BudgetFault
from balsamreach.budget.incarnations import AddressRegistration
from balsamreach.budget.ledger import Ledger, Reservation
from balsamreach.budget.maintenance import Upkeep
from balsamreach.budget.move_committer import MoveCommitter
from balsamreach.budget.obtaining import Obtainer
from balsamreach.budget.pause_detector import PauseDetector
from balsamreach.budget.peer_parts import make_peer_parts
from balsamreach.budget.recorder import BillRecorder
from balsamreach.budget.settling import Settler
from balsamreach.budget.shutdown import BudgetShutdown
from balsamreach.budget.sizing import Sizing
from balsamreach.budget.stranded import StrandedAllotments
from balsamreach.budget.takeover import Takeover
from balsamreach.clock import Clock
from balsamreach.config.settings import BudgetSettings
from balsamreach.peers.base import PeerNet
from balsamreach.services.base import TableService
from balsamreach.telemetry.metrics import Metrics

REFUSALS = 'balsamreach_budget_refusals_total'

_LENIENT = 'lenient'


@attrs.define
class Budgets:
    """Reserves tokens for requests and records what they used.

    Parameters
    ----------
    service : TableService
        Service that stores accounts, allotments and bills.
    incarnation : str
        Identifies this run of the router.
    cfg : BudgetSettings
        Sizes and intervals.
    clock : Clock
        Clock for rates and intervals.
    net : PeerNet or None
        The other routers; None for a router without peers.
    address : str
        Address at which peers reach this router; empty if it may change
        with each start.
    rng : Random
        Source of jitter, loan ids and the order of lenders.
    metrics : Metrics
        Counters and gauges.
    """

    service: TableService
    incarnation: str
    cfg: BudgetSettings
    clock: Clock
    net: PeerNet | None = attrs.field(default=None, kw_only=True)
    address: str = attrs.field(default='', kw_only=True)
    rng: random.Random = attrs.field(factory=random.Random, kw_only=True)
    metrics: Metrics = attrs.field(factory=Metrics, kw_only=True)
    book: LedgerBook = attrs.field(init=False)
    recorder: BillRecorder = attrs.field(init=False)
    maintenance: Upkeep = attrs.field(init=False)
    _obtainer: Obtainer = attrs.field(init=False)
    _pause_detector: PauseDetector = attrs.field(init=False)
    _shutdown: BudgetShutdown = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the components."""
        lenient = self.cfg.posture == _LENIENT
        registration = AddressRegistration(
            self.service,
            self.address,
            self.incarnation,
            self.clock.wall(),
        )
        self.book = LedgerBook(
            MoveCommitter(self.service, self.incarnation, self.clock, self.rng),
            registration,
            self.clock,
            self.metrics,
            spends_loans=lenient,
        )
        sizing = Sizing(self.cfg, self.clock)
        closer = AllotmentCloser(self.service)
        self.recorder = BillRecorder(
            self.book,
            Settler(self.service, self.incarnation),
            closer,
            self.metrics,
        )
        stranded = StrandedAllotments(self.service, self.clock)
        takeover = Takeover(closer, registration, self.metrics, stranded)
        peers = None
        if self.net is not None:
            peers = make_peer_parts(
                self.net,
                self.recorder,
                sizing,
                takeover,
                self.rng,
                self.cfg.bills_limit,
            )
        self._shutdown = BudgetShutdown(
            self.book,
            sizing,
            self.recorder,
            takeover,
            peers.sender if peers else None,
            peers.keeper if peers else None,
        )
        self.maintenance = Upkeep(
            self.book,
            sizing,
            self.recorder,
            takeover,
            peers,
            self.metrics,
        )
        self._obtainer = Obtainer(
            self.book,
            sizing,
            peers.loans if peers else None,
            self.cfg,
            AccountDrawer(self.book, sizing),
        )
        self._pause_detector = PauseDetector(
            self.service,
            self.book,
            registration,
            self.clock,
            strict=not lenient,
        )
        if peers is not None:
            peers.loans.pause_detector = self._pause_detector

    @property
    def closing_fault(self) -> BudgetFault | None:
        """Why this router stopped spending tokens, None while it spends."""
        return self.book.closing_fault

    @property
    def ledgers(self) -> dict[str, Ledger]:
        """Ledgers by team."""
        return self.book.ledgers

    @property
    def waiting(self) -> int:
        """Number of bills that are not recorded yet."""
        return self.recorder.waiting

    @property
    def repeated_bills(self) -> int:
        """Number of dropped bills whose request already had a bill."""
        return self.recorder.repeated

    async def reserve(
        self, team: str, tokens: int
    ) -> Reservation | BudgetFault:
        """Reserve the maximum of tokens that a request can use.

        Parameters
        ----------
        team : str
            Team that pays.
        tokens : int
            Maximum of tokens that the request can use.

        Returns
        -------
        Reservation or BudgetFault
            A fault means that nothing was reserved; it is returned at once if
            waiting can't help, otherwise within ``draw_wait``.
        """
        fault = self.recorder.refusal(self.cfg.bills_limit)
        if fault is None and self._pause_detector.needs_check():
            fault = (
                await self._pause_detector.verify_allotments()
                or self.recorder.refusal(self.cfg.bills_limit)
            )
        if fault is not None:
            return _count_refusal(self.metrics, fault)
        ledger = self.book.ledger(team)
        reservation = self.recorder.reserve(ledger, tokens)
        if reservation is not None:
            return reservation
        obtained = await self._obtainer.obtain(ledger, tokens)
        if isinstance(obtained, BudgetFault):
            return _count_refusal(self.metrics, obtained)
        # During the wait, too many bills may have accumulated or a successor
        # may have taken over, so the state is checked again.
        fault = self.recorder.refusal(self.cfg.bills_limit)
        if fault is not None:
            self.release(obtained)
            return _count_refusal(self.metrics, fault)
        return obtained

    def release(self, reservation: Reservation) -> None:
        """Release the reservation of a request that did not run."""
        self.recorder.release(reservation)

    def bill(self, reservation: Reservation, bill: Bill) -> None:
        """Bill a request; the rest of its reservation is released."""
        self.recorder.bill(reservation, bill)

    async def wait_for_copies(self) -> None:
        """Wait, with a timeout, until a peer has copies of all new bills."""
        if self.maintenance.peers is not None:
            await self.maintenance.peers.copier.wait_for_copies()

    async def flush(self) -> BudgetFault | None:
        """Record waiting bills; return the fault if that failed."""
        return await self.recorder.flush()

    async def leave(self) -> bool:
        """Record all bills and close all allotments, for a shutdown.

        Returns
        -------
        bool
            Whether everything was recorded and closed.
        """
        return await self._shutdown.leave()

    async def run(self) -> None:
        """Run the background tasks until cancelled."""
        await self.maintenance.run(
            self.cfg.flush_interval, self._pause_detector
        )


def _count_refusal(metrics: Metrics, fault: BudgetFault) -> BudgetFault:
    metrics.count(REFUSALS, reason=fault.code)
    return fault
