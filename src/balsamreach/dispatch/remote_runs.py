"""Runs of one request at other routers."""

import uuid

import attrs

from balsamreach.config.settings import Settings
from balsamreach.dispatch import faults
from balsamreach.dispatch.answer_copier import AnswerCopier, CopyResult
from balsamreach.dispatch.attempt_sender import make_reply
from balsamreach.dispatch.call import Call
from balsamreach.dispatch.faults import DispatchFault
from balsamreach.dispatch.not_run_confirmer import NotRunConfirmer
from balsamreach.dispatch.replay import Replay, can_replay
from balsamreach.dispatch.replies import GENERATION_HEADER
from balsamreach.dispatch.request_attempts import AttemptParts, RequestAttempts
from balsamreach.dispatch.resuming import Resumer, ResumeResult
from balsamreach.dispatch.run_directory import RunDirectory, RunLookup
from balsamreach.dispatch.upstream import Attempt
from balsamreach.peers.base import PeerNet
from balsamreach.requests.answers import Answer
from balsamreach.requests.registry import AnswerRegistry
from balsamreach.targets.registry import Targets

_NO_OTHER_RUN = RunLookup(home_complete=True, registered=True)


@attrs.frozen(kw_only=True)
class RemoteRunParts:
    """Components that give access to runs at other routers.

    Parameters
    ----------
    directory : RunDirectory
        Finds the router that runs a request.
    confirmer : NotRunConfirmer
        Asks all routers whether any of them ran a request.
    copier : AnswerCopier
        Copies answers of other routers.
    resumer : Resumer
        Resumes generations.
    targets : Targets
        Targets that hold generations.
    """

    directory: RunDirectory
    confirmer: NotRunConfirmer
    copier: AnswerCopier
    resumer: Resumer
    targets: Targets


def make_remote_run_parts(
    net: PeerNet,
    answers: AnswerRegistry,
    attempt_parts: AttemptParts,
    targets: Targets,
    cfg: Settings,
) -> RemoteRunParts:
    """Build the components that give access to runs at other routers."""
    clock, metrics = attempt_parts.clock, attempt_parts.metrics
    directory = RunDirectory(
        net,
        cfg.requests,
        cfg.peers.max_peers,
        clock,
        metrics,
    )
    return RemoteRunParts(
        directory=directory,
        confirmer=NotRunConfirmer(net, directory, answers, metrics),
        copier=AnswerCopier(net, answers, clock, metrics),
        resumer=attempt_parts.resumer,
        targets=targets,
    )


@attrs.define(eq=False)
class RemoteRun:
    """A request's runs at other routers.

    Parameters
    ----------
    parts : RemoteRunParts
        Shared components.
    call : Call
        The request.
    answer : Answer
        Receives an answer found at another router.
    """

    parts: RemoteRunParts
    call: Call
    answer: Answer
    _lookup: RunLookup = _NO_OTHER_RUN
    _not_run_is_certain: bool = True

    async def look_up(self) -> DispatchFault | None:
        """Look up who runs the request; a fault if its key is misused."""
        # No other router knows a key that this router minted.
        if self.call.req.minted:
            return None
        self._not_run_is_certain = False
        self._lookup = await self.parts.directory.look_up(self.call.req)
        note = self._lookup.note
        if note is None or note.fingerprint == self.call.req.fingerprint:
            return None
        return faults.KEY_REUSED.because('the key was used with another body')

    async def copy_answer(self, holder: str = '') -> CopyResult | None:
        """Copy the answer of the router that runs the request.

        Parameters
        ----------
        holder : str
            Incarnation of that router; empty for the one named by the key's
            home router.

        Returns
        -------
        CopyResult or None
            None if the request is to run here, or may.
        """
        note = self._lookup.note
        if not holder and note is not None:
            holder = note.incarnation
        if not holder or holder == self.parts.directory.me:
            return None
        copied = await self.parts.copier.copy(
            holder,
            self.call,
            self.answer,
        )
        if copied is None or copied.fault is None:
            return copied
        # An idempotent request that failed there may run here.
        return None if self.can_run_here() else copied

    @property
    def may_resume(self) -> bool:
        """Whether a generation is known that could be resumed."""
        note = self._lookup.note
        return note is not None and bool(note.generation)

    async def resume(self) -> ResumeResult | None:
        """Resume the generation of a router that has died."""
        note = self._lookup.note
        if not self.may_resume or not self.call.stream:
            return None
        target = self.parts.targets.by_name.get(note.target)
        if target is None:
            return None
        output = Replay(self.answer) if self.answer.status else self.answer
        attempt = Attempt(uuid.uuid4().hex, self.call, target)
        reply = make_reply(self.call, output, attempt.attempt_id)
        return await self.parts.resumer.resume(
            attempt,
            reply,
            note.generation,
        )

    def can_run_here(self) -> bool:
        """Return whether a run here can continue the received answer."""
        if not self.answer.status:
            return True
        return self.call.idempotent and can_replay(self.answer)

    def mark_claimed(self) -> None:
        """Record that a claim was made, which rules out other runs."""
        self._lookup = _NO_OTHER_RUN
        self._not_run_is_certain = True

    async def confirm_not_run(
        self,
        fault: DispatchFault | None,
    ) -> DispatchFault | None:
        """Check a fault that says "not run" with the other routers.

        A request that did not run here may have been run by a router that died
        or is disconnected. Told "not run", the caller would do it another way,
        and a guest could be booked twice. So that is only returned if all
        routers report that they know of no run; otherwise the returned fault
        says that it is unknown.
        """
        if (
            fault is None
            or fault.ran != faults.NOT_RUN
            or self._not_run_is_certain
        ):
            return fault
        if self._lookup.home_complete:
            confirmer = self.parts.confirmer
            if await confirmer.confirm_not_run(self.call.req):
                return fault
        return attrs.evolve(fault, ran=faults.MAYBE_RUN)

    def retract(self) -> None:
        """Delete the home router's note of a request that did not run here."""
        # If the home router already knew of a run, its note belongs to that
        # run, even one of this router. Without the note the next refusal would
        # wrongly be reported as certain.
        if self._lookup.registered and not self.call.req.minted:
            self.parts.directory.retract(self.call.req)

    def publish_generation(
        self, attempts: RequestAttempts, headers: dict[str, str]
    ) -> None:
        """Send the generation that answers the request to the home router."""
        generation = headers.get(GENERATION_HEADER, '')
        if self.call.stream and generation:
            self.parts.directory.publish_generation(
                self.call.req,
                attempts.target,
                generation,
            )
