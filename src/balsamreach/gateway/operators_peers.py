"""Operators' view of the routers that this one knows."""

from typing import Any

from balsamreach.gateway.operators import OperatorContext, OperatorHandler
from balsamreach.peers.base import PeerNet
from balsamreach.wire.membership import Member


class PeersHandler(OperatorHandler):
    """``GET /peers``: routers known, and those with a connection."""

    def initialize(self, context: OperatorContext, net: PeerNet) -> None:
        """Take the net besides what every operators' handler gets."""
        super().initialize(context)
        self.net = net

    def get(self) -> None:
        """List the routers."""
        net = self.net
        linked = {member.incarnation for member in net.neighbours()}
        self.finish(
            {
                'me': _shown(net.me),
                'members': [
                    _shown(member) | {'linked': member.incarnation in linked}
                    for member in sorted(net.members(), key=_by_address)
                    if member.incarnation != net.me.incarnation
                ],
            },
        )


def peers_handlers(context: OperatorContext, net: PeerNet) -> list[Any]:
    """Return the handlers of this module for an application."""
    return [('/peers', PeersHandler, {'context': context, 'net': net})]


def _by_address(member: Member) -> str:
    return member.address


def _shown(member: Member) -> dict[str, object]:
    return {
        'incarnation': member.incarnation,
        'host': member.host,
        'address': member.address,
        'zone': member.zone,
        'started': member.started,
        'leaving': member.leaving,
    }
