"""Classifies how an exchange with a target ended."""

import attrs

from balsamreach.dispatch import faults, upstream
from balsamreach.dispatch.faults import DispatchFault
from balsamreach.dispatch.replies import Reply, is_failure
from balsamreach.dispatch.upstream import Attempt, UpstreamFault
from balsamreach.routing.slot import Verdict

_VERDICT_BY_FAULT = {
    upstream.NOT_SENT: Verdict.REFUSED,
    upstream.DECLINED: Verdict.DECLINED,
    upstream.FAILED: Verdict.FAILED,
    upstream.BROKEN: Verdict.BROKEN,
    upstream.SILENT: Verdict.SILENT,
    upstream.EXPIRED: Verdict.ABANDONED,
    upstream.HALTED: Verdict.ABANDONED,
    upstream.REJECTED: Verdict.FAILED,
    upstream.NO_MEMORY: Verdict.ABANDONED,
}


def classify_fault(
    attempt: Attempt,
    reply: Reply,
    outcome: UpstreamFault | None,
) -> DispatchFault | None:
    """Return why an answer is incomplete, and whether the request ran.

    The request certainly did not run in only two cases: no byte was allowed to
    be sent, or a trusted target reports it. Otherwise it is unknown.
    """
    if outcome is not None and not reply.sent:
        return _classify_unsent(outcome)
    if reply.problem:
        return faults.ANSWER_BROKEN.because(reply.problem)
    if reply.halted is not None:
        return reply.halted
    if reply.declined and attempt.target.row.trusted_refusals:
        return faults.OVERLOADED.because(upstream.DECLINED.code)
    if outcome == upstream.EXPIRED:
        return faults.DEADLINE.because('the deadline passed')
    if outcome is not None:
        return faults.ANSWER_BROKEN.because(outcome.reason or outcome.code)
    return _classify_answer(reply)


def _classify_unsent(outcome: UpstreamFault) -> DispatchFault:
    if outcome == upstream.EXPIRED:
        expired = faults.DEADLINE.because('no connection before the deadline')
        return attrs.evolve(expired, ran=faults.NOT_RUN)
    return faults.OVERLOADED.because('no connection to the target')


def _classify_answer(reply: Reply) -> DispatchFault | None:
    if reply.declined:
        return faults.ANSWER_BROKEN.because(
            'the target declined, but its refusals are not trusted'
        )
    if is_failure(reply.status):
        return faults.TARGET_FAILED.because(
            f'the target answered {reply.status}'
        )
    if not reply.is_complete():
        return faults.ANSWER_BROKEN.because('the answer has no proper end')
    return None


def routing_verdict(
    attempt: Attempt,
    reply: Reply,
    outcome: UpstreamFault | None,
) -> Verdict:
    """Return the verdict on the target that routing uses."""
    if outcome is not None:
        return _VERDICT_BY_FAULT[outcome]
    if reply.declined and attempt.target.row.trusted_refusals:
        return Verdict.DECLINED
    if is_failure(reply.status):
        return Verdict.FAILED
    return Verdict.GOOD if reply.is_complete() else Verdict.BROKEN
