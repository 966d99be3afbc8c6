"""A host that has lost its links to all targets, for tests.

Callers, peers and the store still reach it.
"""

import asyncio

import attrs

from balsamreach.daemon.relay_router import RelayRouter
from balsamreach.dispatch.upstream import (
    BROKEN,
    NOT_SENT,
    ConnectFailure,
    Intake,
    UpstreamFault,
)
from balsamreach.placement.access_checks import TargetConnector
from balsamreach.relay.exchange import Exchange, Outgoing

#: How a lost link shows: connections are dropped, refused, or reset once the
#: request is on its way.
DROPPED = 'dropped'
REFUSED = 'refused'
RESET = 'reset'
#: Seconds after which a dropped connection attempt is given up.
_CONNECT_TIMEOUT_S = 0.05


@attrs.define(eq=False)
class CutExchange(Exchange):
    """Fails all exchanges as a host without links would.

    Parameters
    ----------
    how : str
        How the lost links show.
    """

    how: str

    async def send(
        self, _outgoing: Outgoing, intake: Intake
    ) -> UpstreamFault | None:
        """Fail an attempt."""
        if self.how == REFUSED:
            return NOT_SENT.because_of(ConnectFailure.REFUSED, 'refused')
        if self.how == RESET:
            intake.may_send()
            return attrs.evolve(BROKEN, closed_by_target=True)
        await asyncio.sleep(_CONNECT_TIMEOUT_S)
        return NOT_SENT.because_of(ConnectFailure.TIMED_OUT, 'timed out')


class CutConnector(TargetConnector):
    """Fails all connections."""

    async def connect(self, address, max_seconds):
        """Fail at once."""
        return False


def cut_off(router: RelayRouter, how: str) -> None:
    """Cut a router off from all targets."""
    parts = router.parts
    parts.forwarding.checker.connector = CutConnector()
    parts.run = attrs.evolve(
        parts.run,
        attempt_parts=attrs.evolve(
            parts.run.attempt_parts, exchange=CutExchange(how)
        ),
    )
