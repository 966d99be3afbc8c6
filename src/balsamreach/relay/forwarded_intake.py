"""Receives the response to a request that another router sends."""

import attrs

from balsamreach.dispatch.upstream import Intake, UpstreamFault
from balsamreach.relay import faults
from balsamreach.relay.attempt_history import AttemptHistory
from balsamreach.relay.attempt_results import Verdict
from balsamreach.relay.faults import RelayFault
from balsamreach.relay.response_intakes import AnswerIntake
from balsamreach.retry_after import read_retry_after

#: Header with the outcome of a forwarded request: ``ANSWERED`` if the response
#: is the target's, otherwise the code of the fault.
OUTCOME = 'X-Forward-Outcome'
ANSWERED = 'answered'
#: Header with the incarnation of the target that the request was sent to.
TARGET = 'X-Forward-Target'
#: Header with the release of that target.
RELEASE = 'X-Forward-Release'
#: Headers of a fault: whether the request may have run, and whether it
#: reached a target.
MAY_HAVE_RUN = 'X-Forward-Ran'
REACHED = 'X-Forward-Reached'
YES = '1'
NO = '0'

#: Headers that only routers give each other.
_OWN = frozenset(
    name.lower() for name in (OUTCOME, TARGET, RELEASE, MAY_HAVE_RUN, REACHED)
)
_SERVER_ERROR = 500
#: Maximum size in bytes of the body of a refusal, which is not used. A router
#: sends none, so more than any error page has is no refusal of one.
_MAX_REFUSAL_BYTES = 64 * 1024
#: Faults that another router may report.
_FAULTS = {
    fault.code: fault
    for fault in (
        faults.CANNOT_FORWARD,
        faults.NO_TARGET,
        faults.QUARANTINED,
        faults.PART_QUARANTINED,
        faults.RELEASE_GONE,
        faults.MISDIRECTED,
        faults.TARGETS_FULL,
        faults.TARGETS_BACK_OFF,
        faults.EXPIRED_BEFORE_SENDING,
        faults.TIMED_OUT,
        faults.BROKEN,
    )
}


class ForwardedIntake(Intake):
    """Passes a target's response on, and keeps another router's refusal.

    Parameters
    ----------
    inner : AnswerIntake
        Receives the target's response.
    bound_release : str or None
        Release that the target must have; None for any.
    may_retry : bool
        Whether the request may be sent to another target after this one.
    refusal : RelayFault or None
        Why the router has no response of a target.
    target : str
        Incarnation of the target; empty if it is unknown.
    release : str
        Release of the target; empty if it is unknown.
    """

    must_progress = AnswerIntake.must_progress

    def __init__(
        self, inner: AnswerIntake, bound_release: str | None = None
    ) -> None:
        super().__init__()
        self.inner = inner
        self.bound_release = bound_release
        self.may_retry = False
        self.refusal: RelayFault | None = None
        self.target = ''
        self.release = ''
        self._reached = True
        self._refusal_bytes = 0

    @property
    def is_full(self) -> bool:
        """Whether reading should pause until the caller has caught up."""
        return self.inner.is_full

    @property
    def whole_parts(self) -> int | None:
        """Events forwarded; None if the response is no stream."""
        return self.inner.whole_parts

    @property
    def held_bytes(self) -> int:
        """Bytes of the target's response that are held."""
        return self.inner.held_bytes

    def discard(self, reason: str) -> None:
        """Free what is held of the target's response."""
        super().discard(reason)
        self.inner.discard(reason)

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have run the request.

        Without a response nothing is known of what the router has done.
        """
        if not self.sent:
            return False
        return self.refusal is None or not self.refusal.not_run

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Receive the status and headers of the response."""
        outcome = headers.get(OUTCOME.lower(), '')
        self.target = headers.get(TARGET.lower(), '')
        self.release = headers.get(RELEASE.lower(), '')
        if outcome == ANSWERED:
            self.inner.start(status, _without_own(headers))
            if self.bound_release not in {None, self.release}:
                self.inner.problem = 'the target has another release'
            self.problem = self.inner.problem
            return
        self._reached = headers.get(REACHED.lower()) != NO
        fault = _FAULTS.get(outcome, faults.BROKEN)
        self.refusal = attrs.evolve(
            fault.because(f'another router reports {outcome or status}'),
            not_run=headers.get(MAY_HAVE_RUN.lower()) == NO,
            retry_after=read_retry_after(status, headers) or fault.retry_after,
        )

    def write(self, chunk: bytes) -> None:
        """Receive the next bytes of the body."""
        if self.refusal is None:
            self.inner.write(chunk)
            self.problem = self.inner.problem
            return
        self._refusal_bytes += len(chunk)
        if self._refusal_bytes > _MAX_REFUSAL_BYTES:
            self.problem = 'the refusal is too large'

    def close(self) -> None:
        """End the attempt permanently."""
        super().close()
        self.inner.close()

    def classify(self, end: UpstreamFault | None) -> Verdict:
        """Return the result of the attempt.

        Parameters
        ----------
        end : UpstreamFault or None
            Why the exchange with the router failed.
        """
        if self.refusal is not None:
            return Verdict(self.refusal)
        if not self.sent:
            reason = end.reason if end else 'nothing was sent'
            return Verdict(faults.CANNOT_FORWARD.because(reason))
        if end is not None or self.inner.problem:
            reason = self.inner.problem or end.reason or end.code
            return Verdict(faults.BROKEN.because(reason))
        if self.inner.head.status >= _SERVER_ERROR:
            reason = f'the target failed with status {self.inner.head.status}'
            return Verdict(faults.TARGET_FAILED.because(reason), True)
        return Verdict(deliverable=True)

    def record(
        self,
        history: AttemptHistory,
        router: str,
        verdict: Verdict,
        all_events: int,
    ) -> None:
        """Add the attempt to the history of its request.

        Parameters
        ----------
        history : AttemptHistory
            The history.
        router : str
            Host of the router that it went through.
        verdict : Verdict
            Its result.
        all_events : int
            Events that the caller has got of all attempts.
        """
        history.record_outcome(
            f'{self.target or "?"} by {router}',
            verdict.description,
            self.release,
            all_events,
        )
        if self.target:
            history.tried.add(self.target)
            history.reached_targets.add(self.target)
        if self.sent and self._reached:
            history.reached += 1
        if self.may_have_run:
            history.may_have_run = True


def is_own(name: str) -> bool:
    """Return whether a header is one that only routers give each other."""
    return name.lower() in _OWN


def _without_own(headers: dict[str, str]) -> dict[str, str]:
    """Return the headers of the target."""
    return {name: text for name, text in headers.items() if not is_own(name)}
