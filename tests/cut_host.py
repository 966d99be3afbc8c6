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


@attrs.frozen
class _Links:
    """What a router sends to targets with."""

    exchange: Exchange
    connector: TargetConnector


@attrs.define(eq=False)
class CutHosts:
    """The routers that are cut off from all targets."""

    _links: dict[RelayRouter, _Links] = attrs.field(factory=dict)

    def cut_off(self, router: RelayRouter, how: str) -> None:
        """Cut a router off, unless it is already."""
        if router not in self._links:
            links = _Links(
                router.parts.run.attempt_parts.exchange,
                router.parts.forwarding.checker.connector,
            )
            self._links[router] = links
            _set_links(router, _Links(CutExchange(how), CutConnector()))

    def reconnect(self, router: RelayRouter) -> None:
        """Give a router its links back."""
        if router in self._links:
            _set_links(router, self._links.pop(router))


def _set_links(router: RelayRouter, links: _Links) -> None:
    """Replace what a router, its own and others' requests, are sent with."""
    run = router.parts.run
    attempt_parts = attrs.evolve(run.attempt_parts, exchange=links.exchange)
    router.parts.run = attrs.evolve(run, attempt_parts=attempt_parts)
    runner = router.forwarding.runner
    runner.parts = attrs.evolve(runner.parts, exchange=links.exchange)
    router.parts.forwarding.checker.connector = links.connector
