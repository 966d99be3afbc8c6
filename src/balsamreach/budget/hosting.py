"""Sets tokens of teams aside for requests of other routers of the zone."""

from collections import OrderedDict
from collections.abc import Awaitable, Callable

import attrs

from balsamreach.budget.faults import NO_ALLOTMENT, BudgetFault
from balsamreach.budget.ledger import Reservation
from balsamreach.clock import Clock
from balsamreach.peers.base import PeerNet
from balsamreach.wire.membership import Member
from balsamreach.wire.replies import Done
from balsamreach.wire.tokens import TokensAsk, TokensGrant, TokensUsed

#: Most requests of others whose tokens are set aside here at a time.
_MOST_HELD = 20_000
#: Words of requests that ended before their ask was answered.
_MOST_ENDED = 10_000
#: Seconds after which what a router had that is gone counts as used. Source:
#: none of its requests lasts longer, nor a cut for which it passed for dead.
_LOST_AFTER_S = 120

Reserve = Callable[[str, int], Awaitable[Reservation | BudgetFault]]
Charge = Callable[[Reservation, int], None]
Key = tuple[str, int]


@attrs.define(eq=False)
class Hosting:
    """Answers the asks of other routers.

    Parameters
    ----------
    net : PeerNet
        The other routers.
    clock : Clock
        Time.
    reserve, charge : callable
        Set tokens aside here, and charge what was used of them.
    spent : callable
        Returns the tokens that a team has used of what was held here.
    """

    net: PeerNet
    clock: Clock
    reserve: Reserve
    charge: Charge
    spent: Callable[[str], int]
    _held: dict[Key, Reservation] = attrs.field(factory=dict)
    _ended: OrderedDict[Key, int] = attrs.field(factory=OrderedDict)
    _missing: dict[str, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Take the asks of others from now on."""
        self.net.on(TokensAsk, self._take_ask)
        self.net.on(TokensUsed, self._take_used)

    def is_held(self) -> bool:
        """Return whether requests of others have tokens set aside here."""
        return bool(self._held)

    def sweep(self) -> None:
        """Count as used what routers had that are gone for good.

        Nobody tells any more what their requests used. Freed, it might be
        spent twice; kept for ever, it would fill the memory here.
        """
        now = self.clock.now()
        alive = {member.incarnation for member in self.net.members()}
        gone = {asker for asker, _ in self._held} - alive
        self._missing = {asker: self._missing.get(asker, now) for asker in gone}
        for key in tuple(self._held):
            missing_since = self._missing.get(key[0], now)
            if now - missing_since >= _LOST_AFTER_S:
                held = self._held.pop(key)
                self.charge(held, held.tokens)

    async def _take_ask(self, member: Member, ask: TokensAsk) -> TokensGrant:
        key = (member.incarnation, ask.number)
        if len(self._held) >= _MOST_HELD:
            return self._refuse(ask, NO_ALLOTMENT.because('too many requests'))
        outcome = await self.reserve(ask.team, ask.tokens)
        if isinstance(outcome, BudgetFault):
            return self._refuse(ask, outcome)
        if key in self._ended:
            # The asker has given up meanwhile; nobody would free it later.
            self.charge(outcome, self._ended.pop(key))
            return self._refuse(ask, NO_ALLOTMENT.because('it came too late'))
        self._held[key] = outcome
        return TokensGrant(granted=True, spent=self.spent(ask.team))

    def _refuse(self, ask: TokensAsk, fault: BudgetFault) -> TokensGrant:
        return TokensGrant(
            granted=False,
            code=fault.code,
            reason=fault.reason,
            spent=self.spent(ask.team),
        )

    async def _take_used(self, member: Member, message: TokensUsed) -> Done:
        columns = zip(message.numbers, message.used, strict=False)
        for number, used in columns:
            self._end((member.incarnation, number), used)
        return Done()

    def _end(self, key: Key, used: int) -> None:
        held = self._held.pop(key, None)
        if held is not None:
            self.charge(held, min(used, held.tokens))
            return
        self._ended[key] = used
        while len(self._ended) > _MOST_ENDED:
            self._ended.popitem(last=False)
