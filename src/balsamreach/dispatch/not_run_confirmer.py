"""Confirms with all routers that none of them ran a refused request."""

import asyncio
import contextvars

import attrs

from balsamreach.dispatch.run_directory import RunDirectory
from balsamreach.peers.base import PeerNet
from balsamreach.requests.identity import RequestId
from balsamreach.requests.registry import AnswerRegistry
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.membership import Member
from balsamreach.wire.runs import RunAsk, RunsAsk, RunsKnown

CONFIRMATIONS = 'balsamreach_not_run_total'
#: Maximum number of requests in one message.
_MAX_MESSAGE_RUNS = 500
#: Further refusals are reported as unknown instead of waiting for
#: confirmation.
_MAX_WAITING = 2 * _MAX_MESSAGE_RUNS


@attrs.define(eq=False)
class NotRunConfirmer:
    """Asks all routers whether they ran requests that were refused here.

    A home router that was never told of a run takes the request for a new one,
    and the connection loss that kept the message from it may be too short to
    be noticed. The router that started the run knows of it, so every router is
    asked, and one that doesn't answer counts as having run the request.
    Refusals that arrive during a query share the next one, so that a flood of
    refusals costs at most one message to each router per round trip.

    Parameters
    ----------
    net : PeerNet
        The other routers.
    directory : RunDirectory
        Runs that this router was told of.
    answers : AnswerRegistry
        Runs of this router, in progress and kept.
    metrics : Metrics
        Counts confirmations by outcome.
    """

    net: PeerNet
    directory: RunDirectory
    answers: AnswerRegistry
    metrics: Metrics
    _waiting: dict[asyncio.Future, RunAsk] = attrs.field(factory=dict)
    _query_task: asyncio.Task | None = None

    def __attrs_post_init__(self) -> None:
        """Register the handler for queries of other routers."""
        self.net.on(RunsAsk, self._on_runs_ask)

    async def confirm_not_run(self, req: RequestId) -> bool:
        """Return whether it is certain that no router started a request.

        Parameters
        ----------
        req : RequestId
            A request that ends here without having run.

        Notes
        -----
        Takes at most as long as two queries.
        """
        confirmed = len(self._waiting) < _MAX_WAITING and await self._query(req)
        outcome = 'confirmed' if confirmed else 'unknown'
        self.metrics.count(CONFIRMATIONS, outcome=outcome)
        return confirmed

    async def _query(self, req: RequestId) -> bool:
        fut = asyncio.get_running_loop().create_future()
        self._waiting[fut] = RunAsk(req.team, req.key, req.fingerprint)
        if self._query_task is None:
            # A query serves several requests, so it belongs to no request's
            # trace.
            self._query_task = asyncio.create_task(
                self._query_pending(),
                context=contextvars.Context(),
            )
        return await fut

    async def _query_pending(self) -> None:
        try:
            while self._waiting:
                await self._query_batch()
        finally:
            self._query_task = None

    async def _query_batch(self) -> None:
        batch = tuple(self._waiting)[:_MAX_MESSAGE_RUNS]
        runs = tuple(self._waiting.pop(one) for one in batch)
        unconfirmed = await self._find_unconfirmed(runs)
        for fut, run in zip(batch, runs, strict=True):
            if not fut.done():
                fut.set_result(run not in unconfirmed)

    async def _find_unconfirmed(
        self,
        runs: tuple[RunAsk, ...],
    ) -> frozenset[RunAsk]:
        members = self.directory.home_routers.members()
        me = self.directory.me
        others = [one for one in members if one.incarnation != me]
        asks = (self._ask(one, RunsAsk(runs)) for one in others)
        answers = await asyncio.gather(*asks)
        # Checked after the queries, to include notes that arrived meanwhile.
        noted = self._noted_runs(me, runs)
        members_hash = self.directory.home_routers.members_hash()
        if not self.directory.is_complete():
            return frozenset(runs)
        known = set(noted)
        for answer in answers:
            if answer is None or not answer.sure:
                return frozenset(runs)
            # If the member lists differ, a router known to only some of them
            # was not asked.
            if answer.members != members_hash:
                return frozenset(runs)
            known.update(answer.runs)
        return frozenset(known)

    async def _ask(self, member: Member, ask: RunsAsk) -> RunsKnown | None:
        try:
            async with asyncio.timeout(self.directory.cfg.ask_timeout):
                answer = await self.net.ask(member.incarnation, ask)
        except TimeoutError:
            return None
        return answer if isinstance(answer, RunsKnown) else None

    async def _on_runs_ask(self, member: Member, ask: RunsAsk) -> RunsKnown:
        known = [
            run
            for run in ask.runs
            # A request in progress counts even though it may still be refused:
            # it may run after the asking router's caller was told that it did
            # not.
            if self.answers.get(run.team, run.key) is not None
        ]
        known.extend(self._noted_runs(member.incarnation, ask.runs))
        return RunsKnown(
            tuple(known),
            self.directory.is_complete(),
            self.directory.home_routers.members_hash(),
        )

    def _noted_runs(self, asker: str, runs: tuple[RunAsk, ...]) -> list[RunAsk]:
        return [
            run for run in runs if self.directory.knows_other_run(asker, run)
        ]
