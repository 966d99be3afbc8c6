"""Copies of waiting bills, kept by a buddy in case their maker dies."""

import asyncio

import attrs

from balsamreach.budget.account import Bill
from balsamreach.budget.closing import AllotmentCloser
from balsamreach.budget.closing_plan import ClosingSpec
from balsamreach.budget.faults import BudgetFault
from balsamreach.budget.incarnations import Incarnations
from balsamreach.budget.leftovers import Leftovers
from balsamreach.budget.takeover import report
from balsamreach.peers.base import PeerNet
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.bills import BillCopies, BillCopy
from balsamreach.wire.membership import Member
from balsamreach.wire.replies import Done

KEPT = 'balsamreach_budget_copies_kept'
REFUSED = 'balsamreach_budget_copies_refused_total'
SETTLED_FOR_DEAD = 'balsamreach_budget_bills_settled_for_others_total'
UNPAID = 'balsamreach_budget_bills_unpaid'

#: Most bills in one message.
MESSAGE_BILLS = 500


@attrs.define
class Sender:
    """Sends copies of this router's waiting bills to one buddy.

    Parameters
    ----------
    net : PeerNet
        The other routers.
    """

    net: PeerNet
    buddy: str = ''
    _sent: dict[int, BillCopy] = attrs.field(factory=dict)
    _doubtful: dict[int, BillCopy] = attrs.field(factory=dict)

    def send(self, waiting: tuple[Bill, ...]) -> None:
        """Bring the buddy up to date.

        Parameters
        ----------
        waiting : tuple of Bill
            All bills that are not recorded yet.
        """
        buddy = self.choose()
        if buddy != self.buddy:
            self.buddy = buddy
            self._sent.clear()
            self._doubtful.clear()
        if not buddy:
            return
        by_ordinal = {bill.ordinal: bill for bill in waiting}
        fresh = [number for number in by_ordinal if number not in self._sent]
        # One that got no answer may be there all the same, and would be kept
        # for good if nobody told that it is recorded.
        maybe = self._doubtful | self._sent
        self._doubtful.clear()
        recorded = [number for number in maybe if number not in by_ordinal]
        gone = [maybe[number] for number in recorded]
        for done in recorded:
            self._sent.pop(done, None)
        for start in range(0, max(len(fresh), len(gone)), MESSAGE_BILLS):
            part = fresh[start : start + MESSAGE_BILLS]
            self._tell(
                tuple(by_ordinal[number] for number in part),
                tuple(gone[start : start + MESSAGE_BILLS]),
            )

    async def deliver(
        self,
        bills: tuple[Bill, ...],
        waiting: tuple[Bill, ...],
    ) -> bool:
        """Send bills that were just made, and wait until they are there.

        Parameters
        ----------
        bills : tuple of Bill
            Bills that were not sent before.
        waiting : tuple of Bill
            All bills that are not recorded yet, for a buddy that is new.

        Returns
        -------
        bool
            Whether the buddy said that it has them.
        """
        if self.choose() != self.buddy:
            self.send(waiting)
        taken = bool(self.buddy)
        for start in range(0, len(bills), MESSAGE_BILLS):
            part = bills[start : start + MESSAGE_BILLS]
            taken = await self._hand(part) and taken
        return taken

    async def hand_over(self, waiting: tuple[Bill, ...]) -> bool:
        """Leave all waiting bills, and the allotments, to the buddy.

        Parameters
        ----------
        waiting : tuple of Bill
            All bills that could not be recorded before the end.

        Returns
        -------
        bool
            Whether the buddy has them all.
        """
        self.buddy = self.choose()
        if not self.buddy:
            return False
        maker = self.net.me.incarnation
        parts = [
            waiting[start : start + MESSAGE_BILLS]
            for start in range(0, len(waiting), MESSAGE_BILLS)
        ]
        for part in parts or [()]:
            # The last part alone tells that nothing more will come.
            last = part == (parts or [()])[-1]
            copies = tuple(_copy(bill) for bill in part)
            message = BillCopies(maker, copies, left=last)
            answer = await self.net.ask(self.buddy, message)
            if not isinstance(answer, Done):
                return False
        return True

    def choose(self) -> str:
        """Return the buddy to use now, empty if no router is in reach."""
        members = [
            member for member in self.net.neighbours() if not member.leaving
        ]
        names = {member.incarnation for member in members}
        if self.buddy in names:
            return self.buddy
        # The own zone stays in reach when zones are cut off; the next
        # incarnation in order spreads makers evenly over buddies.
        here = [one for one in members if one.zone == self.net.me.zone]
        ordered = sorted(one.incarnation for one in here or members)
        after = [name for name in ordered if name > self.net.me.incarnation]
        return (after or ordered or [''])[0]

    async def _hand(self, bills: tuple[Bill, ...]) -> bool:
        if not self.buddy:
            return False
        buddy = self.buddy
        copies = {bill.ordinal: _copy(bill) for bill in bills}
        self._sent.update(copies)
        message = BillCopies(self.net.me.incarnation, tuple(copies.values()))
        answer = await self.net.ask(buddy, message)
        if isinstance(answer, Done):
            return True
        if self.buddy == buddy:
            # They go out once more with the next beat.
            for ordinal, copy in copies.items():
                if self._sent.pop(ordinal, None) is not None:
                    self._doubtful[ordinal] = copy
        return False

    def _tell(
        self,
        bills: tuple[Bill, ...],
        recorded: tuple[BillCopy, ...] = (),
    ) -> None:
        copies = tuple(_copy(bill) for bill in bills)
        maker = self.net.me.incarnation
        message = BillCopies(maker, copies, recorded)
        # What found no connection is not taken for sent, and goes out with
        # the next beat.
        if self.buddy and self.net.tell(self.buddy, message):
            ordinals = (bill.ordinal for bill in bills)
            self._sent.update(zip(ordinals, copies, strict=True))


#: One maker's copies by team and request key.
_Copies = dict[tuple[str, str], BillCopy]


@attrs.define
class Keeper:
    """Keeps other routers' copies and settles them if their maker is gone.

    Parameters
    ----------
    net : PeerNet
        The other routers.
    closer : AllotmentCloser
        Settles and closes.
    incarnations : Incarnations
        Tells who is gone.
    leftovers : Leftovers
        List of those of whom something is left.
    metrics : Metrics
        Counts what is kept and settled.
    limit : int
        Most copies kept.
    """

    net: PeerNet
    closer: AllotmentCloser
    incarnations: Incarnations
    leftovers: Leftovers
    metrics: Metrics
    limit: int
    makers: dict[str, Member] = attrs.field(factory=dict)
    copies: dict[str, _Copies] = attrs.field(factory=dict)
    left: set[str] = attrs.field(factory=set)
    _lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    def __attrs_post_init__(self) -> None:
        """Take the copies that other routers send."""
        self.net.on(BillCopies, self._take)

    @property
    def kept(self) -> int:
        """Number of copies kept."""
        return sum(len(copies) for copies in self.copies.values())

    async def settle_gone(self) -> None:
        """Settle the copies of makers that are known to be gone.

        Only makers that the net holds for dead are asked about; what proves
        that they are gone is the row of their address.
        """
        async with self._lock:
            alive = {member.incarnation for member in self.net.members()}
            for maker in tuple(self.copies):
                if maker not in alive or maker in self.left:
                    await self._settle_if_gone(maker)
        self.metrics.gauge(KEPT, self.kept)

    async def pass_on(self, buddy: str) -> int:
        """Leave the copies of makers that are not alive to another router.

        Parameters
        ----------
        buddy : str
            Who is to keep them.

        Returns
        -------
        int
            Number of copies that it did not take.
        """
        alive = {member.incarnation for member in self.net.members()}
        behind = 0
        for maker in tuple(self.copies):
            if maker not in alive or maker in self.left:
                behind += await self._pass_on(maker, buddy)
        return behind

    async def _pass_on(self, maker: str, buddy: str) -> int:
        copies = tuple(self.copies[maker].values())
        address = self.makers[maker].address
        for start in range(0, max(len(copies), 1), MESSAGE_BILLS):
            part = copies[start : start + MESSAGE_BILLS]
            last = start + MESSAGE_BILLS >= len(copies)
            message = BillCopies(
                maker,
                part,
                left=last and maker in self.left,
                address=address,
            )
            answer = await self.net.ask(buddy, message)
            if not isinstance(answer, Done):
                return len(copies) - start
        self._forget(maker)
        return 0

    async def _settle_if_gone(self, maker: str) -> None:
        gone = maker in self.left or await self.incarnations.is_gone(
            self.makers[maker].address,
            maker,
        )
        if gone is not True:
            return
        teams = await self.closer.open_teams(maker)
        if isinstance(teams, BudgetFault):
            return
        billed = {copy.team for copy in self.copies[maker].values()}
        for team in sorted(billed.union(teams)):
            await self._settle(maker, team)
        if self.copies.get(maker):
            return
        if await self.leftovers.note(maker) is None:
            self._forget(maker)

    def _forget(self, maker: str) -> None:
        self.copies.pop(maker, None)
        self.makers.pop(maker, None)
        self.left.discard(maker)

    async def _settle(self, maker: str, team: str) -> None:
        kept = self.copies.get(maker, {})
        bills = tuple(
            Bill(copy.team, copy.key, copy.tokens)
            for copy in kept.values()
            if copy.team == team
        )
        closing = ClosingSpec(maker, team)
        outcome = await self.closer.close_all(closing, bills)
        if isinstance(outcome, BudgetFault):
            return
        report(self.metrics, closing, outcome)
        unpaid = {(bill.team, bill.key) for bill in outcome.unpaid}
        self.metrics.gauge(UNPAID, len(unpaid), maker=maker)
        for bill in bills:
            if (bill.team, bill.key) not in unpaid:
                kept.pop((bill.team, bill.key), None)
                self.metrics.count(SETTLED_FOR_DEAD)

    async def _take(self, member: Member, message: BillCopies) -> Done:
        kept = self.copies.setdefault(message.incarnation, {})
        # Copies that a leaving buddy passes on name their maker's address.
        address = message.address or member.address
        self.makers[message.incarnation] = attrs.evolve(member, address=address)
        for recorded in message.recorded:
            kept.pop((recorded.team, recorded.key), None)
        for copy in message.bills:
            # Copies are best effort: a buddy that kept them all through a
            # long outage of the platform would run out of memory itself.
            if self.kept >= self.limit:
                self.metrics.count(REFUSED)
                break
            kept[copy.team, copy.key] = copy
        if message.left:
            self.left.add(message.incarnation)
        elif not kept:
            self._forget(message.incarnation)
        return Done()


def _copy(bill: Bill) -> BillCopy:
    return BillCopy(bill.team, bill.key, bill.tokens)
