"""Rejects requests that would wait too long for the host's link.

A link that is seconds behind answers nobody in time: callers give up while
their requests are in progress, and the connections and token requests of all
others time out. The load balancer moves callers away only after some seconds;
until then, the requests that the link can't carry in time are rejected.
"""

from balsamreach.relay import faults
from balsamreach.relay.call import RelayCall
from balsamreach.relay.faults import RelayFault
from balsamreach.relay.host_link import HostLink

#: Maximum wait for the link in seconds, by priority; the last one also holds
#: for lower priorities. Callers give up on a request that is not read within a
#: second. Shorter limits would reject requests that can be served, and their
#: callers come back to the same host, which saves only half of the bytes.
_MAX_WAITS_S = (1.0, 0.8, 0.6)
#: Maximum body size, in bytes, of a plain call that may wait as long as the
#: highest priority: it adds little to the queue and its service time is short.
_PLAIN_BODY_BYTES = 2000
#: Part of the limit that the data ahead of a request may take in any case. A
#: body that alone takes longer than the limit would otherwise be rejected at
#: each retry, even by an idle host.
_FREE_SHARE = 0.5
_MS = 1000


def check_link(call: RelayCall, link: HostLink) -> RelayFault | None:
    """Return why the link can't carry a request in time; None if it can.

    Parameters
    ----------
    call : RelayCall
        The request.
    link : HostLink
        The host's link; the request has been added to it.

    Returns
    -------
    RelayFault or None
        HOST_OVERLOADED, with the inputs of the decision as its reason.
    """
    limit = max_wait(call)
    wait = link.backlog_seconds()
    ahead = wait - link.transfer_seconds(call.size)
    if wait <= limit or ahead <= limit * _FREE_SHARE:
        return None
    return faults.HOST_OVERLOADED.because(
        f'the link is {round(wait * _MS)} ms behind; the limit for priority '
        f'{call.priority} is {round(limit * _MS)} ms'
    )


def max_wait(call: RelayCall) -> float:
    """Return the maximum seconds that a request may wait for the link."""
    if call.prompt is None and len(call.body) <= _PLAIN_BODY_BYTES:
        return _MAX_WAITS_S[0]
    lowest = len(_MAX_WAITS_S) - 1
    return _MAX_WAITS_S[min(max(call.priority, 0), lowest)]
