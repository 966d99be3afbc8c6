"""Copies of waiting bills, kept by a backup peer in case of a crash."""

import asyncio

import attrs

from balsamreach.budget.account import Bill
from balsamreach.budget.closing import AllotmentCloser
from balsamreach.budget.closing_plan import ClosingSpec
from balsamreach.budget.faults import BudgetFault
from balsamreach.budget.incarnations import AddressRegistration
from balsamreach.budget.stranded import StrandedAllotments
from balsamreach.budget.takeover import report_takeover
from balsamreach.peers.base import PeerNet
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.bills import BillCopies, BillCopy
from balsamreach.wire.membership import Member
from balsamreach.wire.replies import Done

KEPT = 'balsamreach_budget_copies_kept'
REFUSED = 'balsamreach_budget_copies_refused_total'
SETTLED_FOR_OTHERS = 'balsamreach_budget_bills_settled_for_others_total'
UNPAID = 'balsamreach_budget_bills_unpaid'

#: Maximum number of bills in one message.
MAX_MESSAGE_BILLS = 500


@attrs.define
class CopySender:
    """Sends copies of this router's waiting bills to one backup peer.

    Parameters
    ----------
    net : PeerNet
        The other routers.
    backup : str
        Incarnation of the current backup peer, empty if there is none.
    """

    net: PeerNet
    backup: str = ''
    _sent: dict[int, BillCopy] = attrs.field(factory=dict)
    _unconfirmed: dict[int, BillCopy] = attrs.field(factory=dict)

    def send(self, waiting: tuple[Bill, ...]) -> None:
        """Update the copies at the backup peer.

        Parameters
        ----------
        waiting : tuple of Bill
            All bills that are not recorded yet.
        """
        backup = self.choose_backup()
        if backup != self.backup:
            self.backup = backup
            self._sent.clear()
            self._unconfirmed.clear()
        if not backup:
            return
        bills_by_ordinal = {bill.ordinal: bill for bill in waiting}
        unsent = [
            ordinal for ordinal in bills_by_ordinal if ordinal not in self._sent
        ]
        # A copy without a response may have arrived all the same. The peer
        # would keep it forever if it were not told that it is recorded.
        possibly_kept = self._unconfirmed | self._sent
        self._unconfirmed.clear()
        recorded = [
            ordinal
            for ordinal in possibly_kept
            if ordinal not in bills_by_ordinal
        ]
        stale_copies = [possibly_kept[ordinal] for ordinal in recorded]
        for recorded_ordinal in recorded:
            self._sent.pop(recorded_ordinal, None)
        for start in range(
            0, max(len(unsent), len(stale_copies)), MAX_MESSAGE_BILLS
        ):
            part = unsent[start : start + MAX_MESSAGE_BILLS]
            self._send_copies(
                tuple(bills_by_ordinal[ordinal] for ordinal in part),
                tuple(stale_copies[start : start + MAX_MESSAGE_BILLS]),
            )

    async def deliver(
        self,
        bills: tuple[Bill, ...],
        waiting: tuple[Bill, ...],
    ) -> bool:
        """Send new bills and wait for the response of the backup peer.

        Parameters
        ----------
        bills : tuple of Bill
            Bills that were not sent before.
        waiting : tuple of Bill
            All bills that are not recorded yet, in case the peer is new.

        Returns
        -------
        bool
            Whether the backup peer confirmed all copies.
        """
        if self.choose_backup() != self.backup:
            self.send(waiting)
        confirmed = bool(self.backup)
        for start in range(0, len(bills), MAX_MESSAGE_BILLS):
            part = bills[start : start + MAX_MESSAGE_BILLS]
            confirmed = await self._send_and_confirm(part) and confirmed
        return confirmed

    async def hand_over(self, waiting: tuple[Bill, ...]) -> bool:
        """Hand all waiting bills and the allotments over to the backup peer.

        Parameters
        ----------
        waiting : tuple of Bill
            All bills that could not be recorded before the shutdown.

        Returns
        -------
        bool
            Whether the backup peer accepted all of them.
        """
        self.backup = self.choose_backup()
        if not self.backup:
            return False
        maker = self.net.me.incarnation
        parts = [
            waiting[start : start + MAX_MESSAGE_BILLS]
            for start in range(0, len(waiting), MAX_MESSAGE_BILLS)
        ]
        for part in parts or [()]:
            # Only the last part tells that no more copies follow.
            is_last = part == (parts or [()])[-1]
            copies = tuple(_copy(bill) for bill in part)
            message = BillCopies(maker, copies, left=is_last)
            answer = await self.net.ask(self.backup, message)
            if not isinstance(answer, Done):
                return False
        return True

    def choose_backup(self) -> str:
        """Return the backup peer to use now, empty if none is reachable."""
        members = [
            member for member in self.net.neighbours() if not member.leaving
        ]
        names = {member.incarnation for member in members}
        if self.backup in names:
            return self.backup
        # Peers in the own zone stay reachable when zones are partitioned.
        # Taking the next incarnation in sort order spreads routers evenly over
        # their backup peers.
        same_zone = [
            member for member in members if member.zone == self.net.me.zone
        ]
        ordered = sorted(member.incarnation for member in same_zone or members)
        later = [name for name in ordered if name > self.net.me.incarnation]
        return (later or ordered or [''])[0]

    async def _send_and_confirm(self, bills: tuple[Bill, ...]) -> bool:
        if not self.backup:
            return False
        backup = self.backup
        copies = {bill.ordinal: _copy(bill) for bill in bills}
        self._sent.update(copies)
        message = BillCopies(self.net.me.incarnation, tuple(copies.values()))
        answer = await self.net.ask(backup, message)
        if isinstance(answer, Done):
            return True
        if self.backup == backup:
            # The copies are sent again with the next periodic update.
            for ordinal, copy in copies.items():
                if self._sent.pop(ordinal, None) is not None:
                    self._unconfirmed[ordinal] = copy
        return False

    def _send_copies(
        self,
        bills: tuple[Bill, ...],
        recorded: tuple[BillCopy, ...] = (),
    ) -> None:
        copies = tuple(_copy(bill) for bill in bills)
        maker = self.net.me.incarnation
        message = BillCopies(maker, copies, recorded)
        # Without a connection the copies don't count as sent, and go out with
        # the next periodic update.
        if self.backup and self.net.tell(self.backup, message):
            ordinals = (bill.ordinal for bill in bills)
            self._sent.update(zip(ordinals, copies, strict=True))


#: Copies of one maker by team and request key.
_MakerCopies = dict[tuple[str, str], BillCopy]


@attrs.define
class CopyKeeper:
    """Keeps bill copies of other routers and settles those of stopped ones.

    Parameters
    ----------
    net : PeerNet
        The other routers.
    closer : AllotmentCloser
        Records the bills and closes the allotments.
    registration : AddressRegistration
        Tells which incarnations have stopped.
    stranded : StrandedAllotments
        Records incarnations whose closed allotments still hold tokens.
    metrics : Metrics
        Counts copies kept and bills settled.
    limit : int
        Maximum number of copies kept.
    makers : dict of str to Member
        The routers whose copies are kept, by incarnation.
    copies : dict of str to dict
        Copies by incarnation of their maker.
    left_makers : set of str
        Incarnations that have stopped spending for good.
    """

    net: PeerNet
    closer: AllotmentCloser
    registration: AddressRegistration
    stranded: StrandedAllotments
    metrics: Metrics
    limit: int
    makers: dict[str, Member] = attrs.field(factory=dict)
    copies: dict[str, _MakerCopies] = attrs.field(factory=dict)
    left_makers: set[str] = attrs.field(factory=set)
    _lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    def __attrs_post_init__(self) -> None:
        """Register the handler for copies from other routers."""
        self.net.on(BillCopies, self._handle_copies)

    @property
    def kept(self) -> int:
        """Number of copies kept."""
        return sum(len(copies) for copies in self.copies.values())

    async def settle_stopped(self) -> None:
        """Settle the copies of makers that are known to have stopped.

        Only makers that the peer network considers dead are checked; the
        proof that they stopped is the entry of their address.
        """
        async with self._lock:
            alive = {member.incarnation for member in self.net.members()}
            for maker in tuple(self.copies):
                if maker not in alive or maker in self.left_makers:
                    await self._settle_if_stopped(maker)
        self.metrics.gauge(KEPT, self.kept)

    async def pass_on(self, backup: str) -> int:
        """Pass the copies of makers that are not alive to another router.

        Parameters
        ----------
        backup : str
            Incarnation that is to keep them.

        Returns
        -------
        int
            Number of copies that it did not accept.
        """
        alive = {member.incarnation for member in self.net.members()}
        refused = 0
        for maker in tuple(self.copies):
            if maker not in alive or maker in self.left_makers:
                refused += await self._pass_on(maker, backup)
        return refused

    async def _pass_on(self, maker: str, backup: str) -> int:
        copies = tuple(self.copies[maker].values())
        address = self.makers[maker].address
        for start in range(0, max(len(copies), 1), MAX_MESSAGE_BILLS):
            part = copies[start : start + MAX_MESSAGE_BILLS]
            is_last = start + MAX_MESSAGE_BILLS >= len(copies)
            message = BillCopies(
                maker,
                part,
                left=is_last and maker in self.left_makers,
                address=address,
            )
            answer = await self.net.ask(backup, message)
            if not isinstance(answer, Done):
                return len(copies) - start
        self._forget(maker)
        return 0

    async def _settle_if_stopped(self, maker: str) -> None:
        stopped = maker in self.left_makers or await self.registration.is_gone(
            self.makers[maker].address,
            maker,
        )
        if stopped is not True:
            return
        teams = await self.closer.open_teams(maker)
        if isinstance(teams, BudgetFault):
            return
        billed = {copy.team for copy in self.copies[maker].values()}
        for team in sorted(billed.union(teams)):
            await self._settle(maker, team)
        if self.copies.get(maker):
            return
        if await self.stranded.record_lender(maker) is None:
            self._forget(maker)

    def _forget(self, maker: str) -> None:
        self.copies.pop(maker, None)
        self.makers.pop(maker, None)
        self.left_makers.discard(maker)

    async def _settle(self, maker: str, team: str) -> None:
        kept = self.copies.get(maker, {})
        bills = tuple(
            Bill(copy.team, copy.key, copy.tokens)
            for copy in kept.values()
            if copy.team == team
        )
        closing = ClosingSpec(maker, team)
        outcome = await self.closer.close_with_bills(closing, bills)
        if isinstance(outcome, BudgetFault):
            return
        report_takeover(self.metrics, closing, outcome)
        unpaid = {(bill.team, bill.key) for bill in outcome.unpaid}
        self.metrics.gauge(UNPAID, len(unpaid), maker=maker)
        for bill in bills:
            if (bill.team, bill.key) not in unpaid:
                kept.pop((bill.team, bill.key), None)
                self.metrics.count(SETTLED_FOR_OTHERS)

    async def _handle_copies(self, member: Member, message: BillCopies) -> Done:
        kept = self.copies.setdefault(message.incarnation, {})
        # Copies passed on by a leaving backup peer contain the address of
        # their maker.
        address = message.address or member.address
        self.makers[message.incarnation] = attrs.evolve(member, address=address)
        for recorded in message.recorded:
            kept.pop((recorded.team, recorded.key), None)
        for copy in message.bills:
            # Copies are best effort. The limit keeps a long outage of the
            # platform from exhausting the memory of the backup peer.
            if self.kept >= self.limit:
                self.metrics.count(REFUSED)
                break
            kept[copy.team, copy.key] = copy
        if message.left:
            self.left_makers.add(message.incarnation)
        elif not kept:
            self._forget(message.incarnation)
        return Done()


def _copy(bill: Bill) -> BillCopy:
    return BillCopy(bill.team, bill.key, bill.tokens)
