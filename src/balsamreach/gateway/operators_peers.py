"""Handler that lists the routers known to this one."""

from typing import Any

from balsamreach.gateway.operators import OperatorContext, OperatorHandler
from balsamreach.peers.base import PeerNet
from balsamreach.wire.membership import Member


class PeersHandler(OperatorHandler):
    """``GET /peers``: known routers, and whether each is connected."""

    def initialize(self, context: OperatorContext, net: PeerNet) -> None:
        """Store the context and the peer network."""
        super().initialize(context)
        self.net = net

    def get(self) -> None:
        """Send the list of routers."""
        net = self.net
        connected = {member.incarnation for member in net.neighbours()}
        self.finish(
            {
                'me': _describe(net.me),
                'members': [
                    _describe(member)
                    | {'linked': member.incarnation in connected}
                    for member in sorted(net.members(), key=_by_address)
                    if member.incarnation != net.me.incarnation
                ],
            },
        )


def peers_handlers(context: OperatorContext, net: PeerNet) -> list[Any]:
    """Return the routes to add to the operators' listener."""
    return [('/peers', PeersHandler, {'context': context, 'net': net})]


def _by_address(member: Member) -> str:
    return member.address


def _describe(member: Member) -> dict[str, object]:
    return {
        'incarnation': member.incarnation,
        'host': member.host,
        'address': member.address,
        'zone': member.zone,
        'started': member.started,
        'leaving': member.leaving,
    }
