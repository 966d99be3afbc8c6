"""Recalls routers' idle tokens of a budget that is to be lowered."""

import asyncio
from collections.abc import Iterator
from functools import partial

import attrs

from balsamreach.budget.account import Account, account_key, decode_account
from balsamreach.budget.book import LedgerBook
from balsamreach.budget.faults import NO_ALLOTMENT, BudgetFault
from balsamreach.budget.ledger import Ledger
from balsamreach.budget.moves import Move
from balsamreach.budget.sizing import Sizing
from balsamreach.peers.base import PeerNet
from balsamreach.services.faults import PlatformFault
from balsamreach.wire.loans import RecallAsk, RecallTold
from balsamreach.wire.membership import Member

#: Seconds for which a router draws no more than its requests need.
RECALL_PERIOD_S = 60
#: Moves to make: the first records loans, and only then can the second return
#: their tokens.
_MOVES = 2
_MAX_CONCURRENT_ASKS = 16


@attrs.frozen
class RouterHolding:
    """What a router holds of a budget after it returned what it could.

    Parameters
    ----------
    host : str
        Where it runs.
    spent : int
        Tokens of the bills that it made.
    held : int
        Tokens reserved for requests in progress, or not yet returned.
    """

    host: str
    spent: int
    held: int


@attrs.frozen
class Outstanding:
    """Where the tokens are that were drawn from an account.

    Parameters
    ----------
    taken : int
        All of them, and so the least that the budget can be set to.
    spent : int
        Tokens of bills, of routers that answered and of closed allotments.
    holdings : tuple of RouterHolding
        Routers that hold some, the largest first.
    elsewhere : int
        Tokens at routers that are gone or did not answer.
    """

    taken: int
    spent: int
    holdings: tuple[RouterHolding, ...]
    elsewhere: int


@attrs.define
class Recaller:
    """Returns idle tokens of a team, from here and from all peers.

    Parameters
    ----------
    book, sizing
        The ledgers, and the sizes of returns.
    net : PeerNet or None
        The other routers.
    """

    book: LedgerBook
    sizing: Sizing
    net: PeerNet | None

    def __attrs_post_init__(self) -> None:
        """Register the message handler."""
        if self.net is not None:
            self.net.on(RecallAsk, self._handle_ask)

    async def recall(self, team: str) -> Outstanding | BudgetFault:
        """Let all routers return idle tokens; return what is outstanding.

        Parameters
        ----------
        team : str
            Whose budget.
        """
        holdings = await self._recall_all(team)
        service = self.book.committer.service
        rows = await service.read((account_key(team),))
        if isinstance(rows, PlatformFault):
            return NO_ALLOTMENT.because(f'table service: {rows.code}')
        return _make_outstanding(decode_account(rows[0].value), holdings)

    async def _recall_all(self, team: str) -> list[RouterHolding]:
        own = await self._return_idle(team)
        holdings = [RouterHolding('this router', own.spent, own.held)]
        peers = list(self._peers())
        for start in range(0, len(peers), _MAX_CONCURRENT_ASKS):
            batch = peers[start : start + _MAX_CONCURRENT_ASKS]
            asks = (self._ask(member, team) for member in batch)
            answers = await asyncio.gather(*asks)
            holdings.extend(one for one in answers if one is not None)
        return holdings

    def _peers(self) -> Iterator[Member]:
        if self.net is None:
            return
        for member in self.net.members():
            if member.incarnation != self.net.me.incarnation:
                yield member

    async def _ask(self, member: Member, team: str) -> RouterHolding | None:
        answer = await self.net.ask(member.incarnation, RecallAsk(team))
        if not isinstance(answer, RecallTold):
            return None
        return RouterHolding(member.host, answer.spent, answer.held)

    async def _handle_ask(self, member: Member, ask: RecallAsk) -> RecallTold:
        return await self._return_idle(ask.team)

    async def _return_idle(self, team: str) -> RecallTold:
        ledger = self.book.ledgers.get(team)
        if ledger is None:
            return RecallTold(team)
        ledger.recalled_until = self.book.clock.now() + RECALL_PERIOD_S
        for _ in range(_MOVES):
            await self.book.apply_moves(
                partial(self._return_moves, ledger), ledger.team
            )
        held = ledger.reserved + ledger.unspent_granted + ledger.returning
        return RecallTold(team, ledger.billed, max(0, held))

    def _return_moves(self, ledger: Ledger) -> tuple[Move, ...]:
        move = self.sizing.return_idle(ledger)
        return () if move is None else (move,)


def _make_outstanding(
    account: Account,
    holdings: list[RouterHolding],
) -> Outstanding:
    spent = account.folded + sum(one.spent for one in holdings)
    held = sum(one.held for one in holdings)
    holding = (one for one in holdings if one.held)
    return Outstanding(
        account.taken,
        spent,
        tuple(sorted(holding, key=lambda one: -one.held)),
        max(0, account.taken - spent - held),
    )
