"""The services that all attempts of relayed requests need."""

from collections.abc import Callable

import attrs

from balsamreach.clock import Clock
from balsamreach.placement.notices import Notices
from balsamreach.relay.attempt_results import AttemptClassifier
from balsamreach.relay.call import RelayCall
from balsamreach.relay.chooser import Chooser
from balsamreach.relay.codec import Codec
from balsamreach.relay.exchange import Exchange
from balsamreach.relay.forwarding import Forwarder
from balsamreach.relay.host_link import HostLink
from balsamreach.relay.quarantine import CrashQuarantine
from balsamreach.relay.retry_budget import RelayRetryBudget


def _ignore(_call: RelayCall) -> None:
    """Record nothing."""


@attrs.frozen(kw_only=True)
class RelayAttemptParts:
    """The services.

    Parameters
    ----------
    quarantine : CrashQuarantine
        Decides whether a request may crash targets.
    notices : Notices
        Applies the notices in response headers.
    link : HostLink
        Counts the bytes that cross the host's link.
    stream_gap : float
        Seconds of silence after which a stream is tried at another target.
    backup_tokens : int
        Maximum tokens of a prompt whose stream gets a backup engine; 0 for
        none.
    connect_timeout : callable
        Returns the maximum seconds to connect to a target now; 0 for the
        default of the exchange.
    forwarder : Forwarder or None
        Forwards requests to services that this router can't reach; None to
        send all of them from here.
    on_bound : callable
        Called with each request whose caller has the first events of a
        release.
    """

    codec: Codec
    chooser: Chooser
    exchange: Exchange
    retry_budget: RelayRetryBudget
    classifier: AttemptClassifier
    quarantine: CrashQuarantine
    notices: Notices
    clock: Clock
    link: HostLink
    stream_gap: float
    backup_tokens: int = 0
    connect_timeout: Callable[[], float] = float
    forwarder: Forwarder | None = None
    on_bound: Callable[[RelayCall], None] = _ignore
