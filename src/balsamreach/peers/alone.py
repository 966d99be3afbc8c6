"""The net of a router that knows no other router."""

import attrs

from balsamreach.config.settings import Settings
from balsamreach.peers.base import PeerNet, Taker
from balsamreach.peers.faults import NOT_CONNECTED, PeerFault
from balsamreach.wire.messages import Member, Message


@attrs.define
class AloneNet(PeerNet):
    """Stands in where no net is open."""

    def members(self) -> tuple[Member, ...]:
        """Return this router."""
        return (self.me,)

    def neighbours(self) -> tuple[Member, ...]:
        """Return nobody."""
        return ()

    def home(self, key: str) -> Member:
        """Return this router."""
        return self.me

    def on(self, kind: type[Message], taker: Taker) -> None:
        """Leave the taker out, since no message comes."""

    async def ask(
        self,
        incarnation: str,
        message: Message,
    ) -> Message | PeerFault:
        """Answer that no connection stands."""
        return NOT_CONNECTED

    def tell(self, incarnation: str, message: Message) -> bool:
        """Answer that nothing was sent."""
        return False

    def spread(self, message: Message, besides: str = '') -> None:
        """Send nothing."""


def make_alone(cfg: Settings, incarnation: str, started: float) -> AloneNet:
    """Return the net of a router with these settings.

    Parameters
    ----------
    cfg : Settings
        Names the host, its address and zone.
    incarnation : str
        Identity of this start.
    started : float
        Wall time of the start.
    """
    return AloneNet(
        Member(
            incarnation=incarnation,
            host=cfg.host.name,
            address=f'{cfg.peers.address}:{cfg.peers.port}',
            zone=cfg.host.zone,
            started=started,
        ),
    )
