"""Judges how an attempt ended, and tells those who keep count of it."""

import attrs

from balsamreach.dispatch.upstream import NOT_SENT, SILENT, UpstreamFault
from balsamreach.placement.places import Place
from balsamreach.relay import faults
from balsamreach.relay.call import RelayCall
from balsamreach.relay.chooser import Chooser
from balsamreach.relay.faults import RelayFault
from balsamreach.relay.intakes import AnswerIntake
from balsamreach.relay.suspects import Suspects

_SERVER_ERROR = 500


@attrs.frozen
class Verdict:
    """What became of an attempt.

    Parameters
    ----------
    fault : RelayFault or None
        Why there is no good answer; None for a good one.
    deliverable : bool
        Whether the answer, good or not, is the target's own and whole.
    """

    fault: RelayFault | None = None
    deliverable: bool = False


@attrs.define
class Judge:
    """Looks at the end of attempts.

    Parameters
    ----------
    chooser : Chooser
        Keeps away from targets that fail.
    suspects : Suspects
        Keeps requests away that crash targets.
    """

    chooser: Chooser
    suspects: Suspects

    def judge(
        self,
        call: RelayCall,
        place: Place,
        intake: AnswerIntake,
        end: UpstreamFault | None,
    ) -> Verdict:
        """Return what became of an attempt.

        Parameters
        ----------
        call : RelayCall
            The request.
        place : Place
            Where it went.
        intake : AnswerIntake
            What came back.
        end : UpstreamFault or None
            How the exchange ended; None in order.
        """
        if end == NOT_SENT:
            return self._unreached(place, end)
        if end is not None or intake.problem:
            return self._broken(call, place, intake, end)
        self.suspects.ended(call, place)
        head = intake.head
        if head.misdirected:
            # The list lags. A target never comes back to an address that
            # another one has, so it is out at once.
            self.chooser.gone(place)
            reason = 'another target has its address'
            return Verdict(faults.MISDIRECTED.because(reason))
        if head.not_run:
            self.chooser.rejected(place)
            reason = f'the target declined with {head.status}'
            return Verdict(faults.TARGETS_FULL.because(reason))
        if head.status >= _SERVER_ERROR:
            self.chooser.failed(place, certain=False)
            reason = f'the target failed with {head.status}'
            return Verdict(faults.TARGET_FAILED.because(reason), True)
        self.chooser.succeeded(place)
        return Verdict(deliverable=True)

    def _unreached(self, place: Place, end: UpstreamFault) -> Verdict:
        self.suspects.refused(place)
        self.chooser.failed(place, certain=True)
        reason = f'no connection: {end.reason}'
        return Verdict(faults.NO_TARGET.because(reason))

    def _broken(
        self,
        call: RelayCall,
        place: Place,
        intake: AnswerIntake,
        end: UpstreamFault | None,
    ) -> Verdict:
        # Silence is the network's as often as the target's; only a
        # connection that broke speaks for a crash.
        if end is not None and end != SILENT:
            self.suspects.broke(call, place)
        self.chooser.failed(place, certain=False)
        reason = intake.problem or (end and end.reason) or ''
        return Verdict(faults.BROKEN.because(reason))
