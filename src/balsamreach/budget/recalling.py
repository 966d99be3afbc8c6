"""Calls back what routers hold of a budget that is to be lowered."""

import asyncio
from collections.abc import Iterator
from functools import partial

import attrs

from balsamreach.budget.account import Account, account_key, decode_account
from balsamreach.budget.book import Book
from balsamreach.budget.faults import NO_ALLOTMENT, BudgetFault
from balsamreach.budget.ledger import Ledger
from balsamreach.budget.moves import Move
from balsamreach.budget.sizing import Sizing
from balsamreach.peers.base import PeerNet
from balsamreach.services.faults import PlatformFault
from balsamreach.wire.loans import RecallAsk, RecallTold
from balsamreach.wire.membership import Member

#: Seconds for which a router draws no more than its requests need.
RECALL_S = 60
#: What was lent to a router can go back once a first move has recorded it.
_MOVES = 2
_AT_ONCE = 16


@attrs.frozen
class Holding:
    """What a router has of a budget after it handed back what it could.

    Parameters
    ----------
    host : str
        Where it runs.
    spent : int
        Tokens of the bills that it made.
    held : int
        Tokens set aside for requests in progress, or not yet handed back.
    """

    host: str
    spent: int
    held: int


@attrs.frozen
class Outstanding:
    """Where the tokens are that an account has handed out.

    Parameters
    ----------
    taken : int
        All of them, and so the least that the budget can be set to.
    spent : int
        Tokens of bills, of routers that answered and of closed allotments.
    holdings : tuple of Holding
        Routers that hold some, the largest first.
    elsewhere : int
        Tokens at routers that are gone or did not answer.
    """

    taken: int
    spent: int
    holdings: tuple[Holding, ...]
    elsewhere: int


@attrs.define
class Recalls:
    """Hands idle tokens of a team back, here and at all peers.

    Parameters
    ----------
    book, sizing
        The ledgers, and the sizes of returns.
    net : PeerNet or None
        The other routers.
    """

    book: Book
    sizing: Sizing
    net: PeerNet | None

    def __attrs_post_init__(self) -> None:
        """Take the peers' asks."""
        if self.net is not None:
            self.net.on(RecallAsk, self._take_ask)

    async def recall(self, team: str) -> Outstanding | BudgetFault:
        """Let all routers hand back what they can, and tell what is out.

        Parameters
        ----------
        team : str
            Whose budget.
        """
        holdings = await self._call_back(team)
        service = self.book.drawer.service
        rows = await service.read((account_key(team),))
        if isinstance(rows, PlatformFault):
            return NO_ALLOTMENT.because(f'table service: {rows.code}')
        return _sum_up(decode_account(rows[0].value), holdings)

    async def _call_back(self, team: str) -> list[Holding]:
        own = await self._hand_back(team)
        holdings = [Holding('this router', own.spent, own.held)]
        others = list(self._others())
        for start in range(0, len(others), _AT_ONCE):
            part = others[start : start + _AT_ONCE]
            asks = (self._ask(member, team) for member in part)
            told = await asyncio.gather(*asks)
            holdings.extend(one for one in told if one is not None)
        return holdings

    def _others(self) -> Iterator[Member]:
        if self.net is None:
            return
        for member in self.net.members():
            if member.incarnation != self.net.me.incarnation:
                yield member

    async def _ask(self, member: Member, team: str) -> Holding | None:
        answer = await self.net.ask(member.incarnation, RecallAsk(team))
        if not isinstance(answer, RecallTold):
            return None
        return Holding(member.host, answer.spent, answer.held)

    async def _take_ask(self, member: Member, ask: RecallAsk) -> RecallTold:
        return await self._hand_back(ask.team)

    async def _hand_back(self, team: str) -> RecallTold:
        ledger = self.book.ledgers.get(team)
        if ledger is None:
            return RecallTold(team)
        ledger.recalled_until = self.book.clock.now() + RECALL_S
        for _ in range(_MOVES):
            await self.book.move(partial(self._moves, ledger))
        held = ledger.reserved + ledger.own + ledger.returning
        return RecallTold(team, ledger.billed, max(0, held))

    def _moves(self, ledger: Ledger) -> tuple[Move, ...]:
        move = self.sizing.return_idle(ledger)
        return () if move is None else (move,)


def _sum_up(account: Account, holdings: list[Holding]) -> Outstanding:
    spent = account.folded + sum(one.spent for one in holdings)
    held = sum(one.held for one in holdings)
    holding = (one for one in holdings if one.held)
    return Outstanding(
        account.taken,
        spent,
        tuple(sorted(holding, key=lambda one: -one.held)),
        max(0, account.taken - spent - held),
    )
