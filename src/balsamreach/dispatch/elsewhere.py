"""What other routers did, or still do, about one request."""

import uuid

import attrs

from balsamreach.config.settings import Settings
from balsamreach.dispatch import faults
from balsamreach.dispatch.attempts import make_reply
from balsamreach.dispatch.call import Call
from balsamreach.dispatch.confirming import Confirming
from balsamreach.dispatch.faults import DispatchFault
from balsamreach.dispatch.following import Followed, Follower
from balsamreach.dispatch.replay import Replay, can_replay
from balsamreach.dispatch.replies import GENERATION_HEADER
from balsamreach.dispatch.resuming import Resumed, Resumer
from balsamreach.dispatch.sharing import Sharing, Whereabouts
from balsamreach.dispatch.tries import Tries, TryParts
from balsamreach.dispatch.upstream import Attempt
from balsamreach.peers.base import PeerNet
from balsamreach.requests.answers import Answer
from balsamreach.requests.registry import Answers
from balsamreach.targets.registry import Targets

_NOBODY = Whereabouts(sure=True, noted=True)


@attrs.frozen(kw_only=True)
class Others:
    """How a router reaches the runs of others.

    Parameters
    ----------
    sharing : Sharing
        Knows who runs what.
    confirming : Confirming
        Asks all routers whether anybody ran a request.
    follower : Follower
        Fetches answers.
    resumer : Resumer
        Takes up generations.
    targets : Targets
        Where generations are.
    """

    sharing: Sharing
    confirming: Confirming
    follower: Follower
    resumer: Resumer
    targets: Targets


def make_others(
    net: PeerNet,
    answers: Answers,
    tries: TryParts,
    targets: Targets,
    cfg: Settings,
) -> Others:
    """Put together how a router reaches the runs of others."""
    clock, metrics = tries.clock, tries.metrics
    sharing = Sharing(
        net,
        cfg.requests,
        cfg.peers.max_peers,
        clock,
        metrics,
    )
    return Others(
        sharing=sharing,
        confirming=Confirming(net, sharing, answers, metrics),
        follower=Follower(net, answers, clock, metrics),
        resumer=tries.resumer,
        targets=targets,
    )


@attrs.define(eq=False)
class Elsewhere:
    """One request as other routers may have run it.

    Parameters
    ----------
    others : Others
        How they are reached.
    call : Call
        The request.
    answer : Answer
        Where an answer that they have goes.
    """

    others: Others
    call: Call
    answer: Answer
    _where: Whereabouts = _NOBODY
    _is_proven: bool = True

    async def look_up(self) -> DispatchFault | None:
        """Find out who runs the request; a fault if its key is misused."""
        # A key that this router minted is known to nobody else.
        if self.call.req.minted:
            return None
        self._is_proven = False
        self._where = await self.others.sharing.look_up(self.call.req)
        note = self._where.note
        if note is None or note.fingerprint == self.call.req.fingerprint:
            return None
        return faults.KEY_REUSED.because('the key came with another body')

    async def follow(self, holder: str = '') -> Followed | None:
        """Copy the answer of whoever runs the request.

        Parameters
        ----------
        holder : str
            Who does; empty for the router that the key's home names.

        Returns
        -------
        Followed or None
            None if the request is to run here, or may be.
        """
        note = self._where.note
        if not holder and note is not None:
            holder = note.incarnation
        if not holder or holder == self.others.sharing.me:
            return None
        followed = await self.others.follower.follow(
            holder,
            self.call,
            self.answer,
        )
        if followed is None or followed.fault is None:
            return followed
        # An idempotent request that failed there may run here.
        return None if self.may_go_on() else followed

    @property
    def may_resume(self) -> bool:
        """Whether a generation is known that could be taken up."""
        note = self._where.note
        return note is not None and bool(note.generation)

    async def resume(self) -> Resumed | None:
        """Take up the generation that a router left behind when it died."""
        note = self._where.note
        if not self.may_resume or not self.call.stream:
            return None
        target = self.others.targets.by_name.get(note.target)
        if target is None:
            return None
        output = Replay(self.answer) if self.answer.status else self.answer
        attempt = Attempt(uuid.uuid4().hex, self.call, target)
        reply = make_reply(self.call, output, attempt.attempt_id)
        return await self.others.resumer.resume(
            attempt,
            reply,
            note.generation,
        )

    def may_go_on(self) -> bool:
        """Return whether a run here can follow on what came so far."""
        if not self.answer.status:
            return True
        return self.call.idempotent and can_replay(self.answer)

    def claimed(self) -> None:
        """Note that a claim was made: whoever ran it would have one."""
        self._where = _NOBODY
        self._is_proven = True

    async def confirm(
        self,
        fault: DispatchFault | None,
    ) -> DispatchFault | None:
        """Make sure of a "not run", which others have to bear out.

        What was not run here may have been run by a router that died or is
        cut off. "Not run" would let the caller take another way, and a guest
        be booked twice. So it is told only where all routers say that they
        know of no run; else the fault returned says that it is unknown.
        """
        if fault is None or fault.ran != faults.NOT_RUN or self._is_proven:
            return fault
        if self._where.sure:
            confirming = self.others.confirming
            if await confirming.nobody_ran(self.call.req):
                return fault
        return attrs.evolve(fault, ran=faults.MAYBE_RUN)

    def erase(self) -> None:
        """Let the key's home forget a request that did not run here."""
        # Where the home knew of a run before, the note is of that one, be it
        # this router's own: without it the next refusal would be sure.
        if self._where.noted and not self.call.req.minted:
            self.others.sharing.erase(self.call.req)

    def tell(self, tries: Tries, headers: dict[str, str]) -> None:
        """Tell the key's home which generation answers the request."""
        generation = headers.get(GENERATION_HEADER, '')
        if self.call.stream and generation:
            self.others.sharing.tell(
                self.call.req,
                tries.target,
                generation,
            )
