"""Tells a release that has no target left from one that isn't listed yet.

Load pattern: targets of another release join while one host is cut off or
suspended for seconds. Other routers tell it which release began a stream
before its list has a target of that release.
"""

from balsamreach.relay import faults
from balsamreach.relay.call import RelayCall
from balsamreach.relay.chooser import Chooser
from balsamreach.relay.faults import RelayFault

#: Seconds to keep a caller waiting for the list. A slow store answers in 0.35
#: s.
CONFIRM_S = 0.5


async def find_refusal(chooser: Chooser, call: RelayCall) -> RelayFault | None:
    """Return why no target can take a request, None if one can.

    That a release has no target left is told only by a list that is up to
    date.

    Parameters
    ----------
    chooser : Chooser
        Chooses among the listed targets.
    call : RelayCall
        The request.
    """
    refusal = chooser.refusal(call)
    if refusal != faults.RELEASE_GONE or _shows_release(chooser, call):
        return refusal
    is_confirmed = await chooser.places.releases.confirm(CONFIRM_S)
    refusal = chooser.refusal(call)
    if refusal != faults.RELEASE_GONE or is_confirmed:
        return refusal
    return faults.NO_TARGET.because(
        f'no target of release {call.release} is listed here yet'
    )


def _shows_release(chooser: Chooser, call: RelayCall) -> bool:
    """Return whether a current list has targets of a request's release."""
    return chooser.places.releases.is_current() and any(
        call.allows_release(place.entry.release)
        for place in chooser.places.of_service(call.service)
    )
