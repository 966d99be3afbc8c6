"""What the end of an exchange with a target means."""

import attrs

from balsamreach.dispatch import faults, upstream
from balsamreach.dispatch.faults import DispatchFault
from balsamreach.dispatch.replies import Reply, is_failure
from balsamreach.dispatch.upstream import Attempt, UpstreamFault
from balsamreach.routing.slot import Verdict

_VERDICTS = {
    upstream.NOT_SENT: Verdict.REFUSED,
    upstream.DECLINED: Verdict.DECLINED,
    upstream.FAILED: Verdict.FAILED,
    upstream.BROKEN: Verdict.BROKEN,
    upstream.SILENT: Verdict.SILENT,
    upstream.EXPIRED: Verdict.ABANDONED,
    upstream.HALTED: Verdict.ABANDONED,
}


def judge(
    attempt: Attempt,
    reply: Reply,
    outcome: UpstreamFault | None,
) -> DispatchFault | None:
    """Return why an answer is not whole, and whether the request ran.

    Only two things show that it did not run: no byte was allowed to leave,
    or the target says so and is trusted to. All else is unknown.
    """
    if outcome is not None and not reply.sent:
        return _not_sent(outcome)
    if reply.foreign:
        return faults.ANSWER_BROKEN.because('answer to another attempt')
    if reply.halted is not None:
        return reply.halted
    if reply.declined and attempt.target.row.trusted_refusals:
        return faults.OVERLOADED.because(upstream.DECLINED.code)
    if outcome == upstream.EXPIRED:
        return faults.DEADLINE.because('the deadline passed')
    if outcome is not None:
        return faults.ANSWER_BROKEN.because(outcome.reason or outcome.code)
    return _judge_whole(reply)


def _not_sent(outcome: UpstreamFault) -> DispatchFault:
    if outcome == upstream.EXPIRED:
        expired = faults.DEADLINE.because('no connection before the deadline')
        return attrs.evolve(expired, ran=faults.NOT_RUN)
    return faults.OVERLOADED.because('no connection to the target')


def _judge_whole(reply: Reply) -> DispatchFault | None:
    if reply.declined:
        return faults.ANSWER_BROKEN.because('declined, but is not trusted')
    if is_failure(reply.status):
        return faults.TARGET_FAILED.because(
            f'the target answered {reply.status}'
        )
    if not reply.whole():
        return faults.ANSWER_BROKEN.because('the answer has no proper end')
    return None


def rate(
    attempt: Attempt,
    reply: Reply,
    outcome: UpstreamFault | None,
) -> Verdict:
    """Return what routing learns from the end of an exchange."""
    if outcome is not None:
        return _VERDICTS[outcome]
    if reply.declined and attempt.target.row.trusted_refusals:
        return Verdict.DECLINED
    if reply.foreign or is_failure(reply.status):
        return Verdict.FAILED
    return Verdict.GOOD if reply.whole() else Verdict.BROKEN
