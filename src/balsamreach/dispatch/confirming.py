"""Makes sure that nobody ran a request before that is told to its caller."""

import asyncio
import contextvars

import attrs

from balsamreach.dispatch.sharing import Sharing
from balsamreach.peers.base import PeerNet
from balsamreach.requests.identity import RequestId
from balsamreach.requests.registry import Answers
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.membership import Member
from balsamreach.wire.runs import RunAsk, RunsAsk, RunsKnown

CONFIRMED = 'balsamreach_not_run_total'
#: Most requests in one message.
_MESSAGE_RUNS = 500
#: More refusals than this are not kept waiting for the others' word.
_MOST_WAITING = 2 * _MESSAGE_RUNS


@attrs.define(eq=False)
class Confirming:
    """Asks all routers at once about requests that were refused here.

    A home that was never told of a run takes the request for a new one, and
    nothing shows it: the cut that kept the word away may be too short to be
    noticed. Whoever began the run knows of it, so each router is asked, and
    one that is silent counts as a runner. Refusals that come while an ask is
    under way share the next one, so that a flood of them costs no more than
    one message to each router for each round trip.

    Parameters
    ----------
    net : PeerNet
        The other routers.
    sharing : Sharing
        What this router was told of runs.
    answers : Answers
        What this router ran and runs.
    metrics : Metrics
        Counts what came of it.
    """

    net: PeerNet
    sharing: Sharing
    answers: Answers
    metrics: Metrics
    _waiting: dict[asyncio.Future, RunAsk] = attrs.field(factory=dict)
    _asking: asyncio.Task | None = None

    def __attrs_post_init__(self) -> None:
        """Answer the others."""
        self.net.on(RunsAsk, self._take_ask)

    async def nobody_ran(self, req: RequestId) -> bool:
        """Return whether it is certain that no router began a request.

        Parameters
        ----------
        req : RequestId
            A request that ends here without having run. The time that this
            takes is bounded by two asks.
        """
        sure = len(self._waiting) < _MOST_WAITING and await self._wait(req)
        outcome = 'confirmed' if sure else 'unknown'
        self.metrics.count(CONFIRMED, outcome=outcome)
        return sure

    async def _wait(self, req: RequestId) -> bool:
        answered = asyncio.get_running_loop().create_future()
        self._waiting[answered] = RunAsk(req.team, req.key, req.fingerprint)
        if self._asking is None:
            # An ask serves several requests, so it is in nobody's trace.
            self._asking = asyncio.create_task(
                self._ask_in_turn(),
                context=contextvars.Context(),
            )
        return await answered

    async def _ask_in_turn(self) -> None:
        try:
            while self._waiting:
                await self._ask_once()
        finally:
            self._asking = None

    async def _ask_once(self) -> None:
        part = tuple(self._waiting)[:_MESSAGE_RUNS]
        runs = tuple(self._waiting.pop(one) for one in part)
        unknown = await self._find_unknown(runs)
        for answered, run in zip(part, runs, strict=True):
            if not answered.done():
                answered.set_result(run not in unknown)

    async def _find_unknown(
        self,
        runs: tuple[RunAsk, ...],
    ) -> frozenset[RunAsk]:
        members = self.sharing.sharers.members()
        me = self.sharing.me
        others = [one for one in members if one.incarnation != me]
        asks = (self._ask(one, RunsAsk(runs)) for one in others)
        answers = await asyncio.gather(*asks)
        # Looked at last: what came in during the asks counts as well.
        mine = self._known(me, runs)
        everyone = self.sharing.sharers.fingerprint()
        if not self.sharing.is_sure():
            return frozenset(runs)
        known = set(mine)
        for answer in answers:
            if answer is None or not answer.sure:
                return frozenset(runs)
            # A router that only some have heard of was not asked.
            if answer.members != everyone:
                return frozenset(runs)
            known.update(answer.runs)
        return frozenset(known)

    async def _ask(self, member: Member, ask: RunsAsk) -> RunsKnown | None:
        try:
            async with asyncio.timeout(self.sharing.cfg.ask_timeout):
                answer = await self.net.ask(member.incarnation, ask)
        except TimeoutError:
            return None
        return answer if isinstance(answer, RunsKnown) else None

    async def _take_ask(self, member: Member, ask: RunsAsk) -> RunsKnown:
        known = [
            run
            for run in ask.runs
            # One in progress counts, though it may be refused yet: it may
            # run after the caller was told that it did not.
            if self.answers.known(run.team, run.key) is not None
        ]
        known.extend(self._known(member.incarnation, ask.runs))
        return RunsKnown(
            tuple(known),
            self.sharing.is_sure(),
            self.sharing.sharers.fingerprint(),
        )

    def _known(self, asker: str, runs: tuple[RunAsk, ...]) -> list[RunAsk]:
        return [run for run in runs if self.sharing.knows(asker, run)]
