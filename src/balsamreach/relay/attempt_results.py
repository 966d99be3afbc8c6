"""Classifies how an attempt ended, and records the result."""

import logging
from collections.abc import Callable
from functools import partial

import attrs

from balsamreach.dispatch.upstream import (
    BROKEN,
    NO_MEMORY,
    NOT_SENT,
    REJECTED,
    SILENT,
    ConnectFailure,
    UpstreamFault,
)
from balsamreach.placement.relay_targets import RelayTarget
from balsamreach.relay import faults
from balsamreach.relay.call import RelayCall
from balsamreach.relay.chooser import Chooser
from balsamreach.relay.faults import RelayFault
from balsamreach.relay.quarantine import CrashQuarantine
from balsamreach.relay.response_intakes import AnswerIntake
from balsamreach.routing.part_suspects import PartBreak
from balsamreach.telemetry.logs import log_event

_SERVER_ERROR = 500
#: Ends of exchanges whose answers were not received any further.
_REFUSED_HERE = frozenset((REJECTED, NO_MEMORY))
#: Maximum parts of a prompt in a log line.
_MAX_LOGGED_PARTS = 16

_logger = logging.getLogger(__name__)


@attrs.frozen
class Verdict:
    """The result of an attempt.

    Parameters
    ----------
    fault : RelayFault or None
        Why the attempt failed; None if it succeeded.
    deliverable : bool
        Whether the response, successful or not, is the target's own and
        complete, so that it may be sent to the caller.
    """

    fault: RelayFault | None = None
    deliverable: bool = False

    @property
    def description(self) -> str:
        """The result in a few words, for the log."""
        if self.fault is None:
            return 'answered'
        return self.fault.reason or self.fault.code


@attrs.define
class AttemptClassifier:
    """Classifies attempts when they have ended.

    Parameters
    ----------
    chooser : Chooser
        Withholds requests from targets that fail.
    quarantine : CrashQuarantine
        Quarantines requests that crash targets.
    link_delayed : callable
        Returns whether a connection may have timed out because of this host's
        own link.
    """

    chooser: Chooser
    quarantine: CrashQuarantine
    link_delayed: Callable[[], bool] = bool

    def classify(
        self,
        call: RelayCall,
        place: RelayTarget,
        intake: AnswerIntake,
        end: UpstreamFault | None,
    ) -> Verdict:
        """Return the result of an attempt.

        Parameters
        ----------
        call : RelayCall
            The request.
        place : RelayTarget
            Target that it was sent to.
        intake : AnswerIntake
            The response.
        end : UpstreamFault or None
            Why the exchange failed; None if it ended normally.
        """
        if end == NOT_SENT:
            return self._not_connected(place, end)
        if end is not None or intake.problem:
            return self._broken(call, place, intake, end)
        head = intake.head
        if head.misdirected:
            # The target list is outdated. A target never returns to an address
            # that another one has, so it is removed at once.
            self.chooser.remove(place)
            reason = 'another target has the address'
            return Verdict(faults.MISDIRECTED.because(reason))
        if head.not_run:
            self.chooser.record_rejection(place)
            reason = f'the target declined with status {head.status}'
            return Verdict(faults.TARGETS_FULL.because(reason))
        self._record_end(call, place, intake)
        if head.status >= _SERVER_ERROR:
            self.chooser.record_failure(place, certain=False)
            reason = f'the target failed with status {head.status}'
            return Verdict(faults.TARGET_FAILED.because(reason), True)
        self.chooser.record_success(place)
        return Verdict(deliverable=True)

    def _record_end(
        self, call: RelayCall, place: RelayTarget, intake: AnswerIntake
    ) -> None:
        # A response without a length that ends with its connection may have
        # been cut off by a crash.
        if not intake.shows_end:
            return
        self.quarantine.record_end(call, place)
        if intake.is_success:
            self.quarantine.record_answer(call)

    def _not_connected(self, place: RelayTarget, end: UpstreamFault) -> Verdict:
        reason = f'no connection: {end.reason}'
        timed_out = end.connect_failure is ConnectFailure.TIMED_OUT
        if timed_out and self.link_delayed():
            # All targets that are tried would otherwise count as failed,
            # although only this host's link is saturated.
            place.breaker.release_probe()
            return Verdict(faults.NO_TARGET.because(reason))
        failures = self.chooser.failures
        failures.record_not_connected(place, end.connect_failure)
        self.chooser.record_failure(place, certain=True)
        failures.access.after_check(
            place.entry.service,
            partial(self.quarantine.record_refused, place),
        )
        return Verdict(faults.NO_TARGET.because(reason))

    def _broken(
        self,
        call: RelayCall,
        place: RelayTarget,
        intake: AnswerIntake,
        end: UpstreamFault | None,
    ) -> Verdict:
        if end is not None and (end in _REFUSED_HERE or end.closed_here):
            _log_rejection(call, place, intake, end)
        # Silence is as often the network's fault as the target's, and the
        # connection of an invalid response was closed here; only one that
        # broke indicates a crash.
        elif end is not None and end != SILENT:
            _log_break(call, place, intake, end)
            self._record_break(call, place, intake, end)
        if end == NO_MEMORY:
            place.breaker.release_probe()
        else:
            self.chooser.record_failure(place, certain=False)
        reason = intake.problem or (end and end.reason) or ''
        return Verdict(faults.BROKEN.because(reason))

    def _record_break(
        self,
        call: RelayCall,
        place: RelayTarget,
        intake: AnswerIntake,
        end: UpstreamFault,
    ) -> None:
        access = self.chooser.failures.access
        progress = intake.progress
        record = partial(
            self.quarantine.record_break,
            call,
            PartBreak(
                place.incarnation,
                call.fingerprint,
                progress.sent_at,
                self.chooser.clock.now(),
            ),
            is_answered=progress.is_proven,
        )
        # The links of this host may have broken, and not the target.
        if end.closed_by_target:
            access.record_break(place, record)
        else:
            access.after_check(place.entry.service, record)


def check_end(
    intake: AnswerIntake, end: UpstreamFault | None
) -> UpstreamFault | None:
    """Return how an exchange ended, by its response too.

    The host of a target that has crashed closes its connections in order. To
    the transport that is the end of a response without a length.

    Parameters
    ----------
    intake : AnswerIntake
        The response.
    end : UpstreamFault or None
        Why the exchange failed by the transport; None if it did not.
    """
    if end is not None or not intake.is_cut:
        return end
    cut = BROKEN.because('the connection ended before the response')
    # A plain response may be meant to be empty, so it shows no crash.
    is_stream = intake.whole_parts is not None
    return attrs.evolve(
        cut, closed_by_target=is_stream, closed_here=not is_stream
    )


def _log_rejection(
    call: RelayCall,
    place: RelayTarget,
    intake: AnswerIntake,
    end: UpstreamFault,
) -> None:
    """Log an invalid response, and the request that it claims to answer."""
    log_event(
        _logger,
        logging.WARNING,
        'answer_rejected',
        request_id=call.request_id,
        team=call.team_name,
        reason=intake.problem or end.reason,
        service=call.service,
        target=place.incarnation,
        answered_id='' if intake.head is None else intake.head.request_id,
    )


def _log_break(
    call: RelayCall,
    place: RelayTarget,
    intake: AnswerIntake,
    end: UpstreamFault,
) -> None:
    """Log what ran at a target when its connection broke."""
    shared = () if call.prompt is None else call.prompt.shared
    log_event(
        _logger,
        logging.WARNING,
        'connection_broke',
        request_id=call.request_id,
        team=call.team_name,
        reason=end.reason,
        service=call.service,
        target=place.incarnation,
        by_target=end.closed_by_target,
        answering_ms=intake.progress.answering_ms,
        parts=[part.part_id for part in shared[:_MAX_LOGGED_PARTS]],
        fingerprint=call.fingerprint,
    )
