"""Which routers of a zone the others turn to for what all of them need.

Load pattern: hundreds of routers with a few requests a second each. Did each
hold tokens of every team, follow the store and tell every other one of its
load by itself, what they do for each other would cost several times what
their requests do, and grow with the fleet.
"""

import attrs

from balsamreach.config.settings import PeersSettings
from balsamreach.peers.base import HubChoice
from balsamreach.peers.homes import pick_local, weigh
from balsamreach.peers.membership import Membership
from balsamreach.wire.membership import Member

_HUB = 'hub'


@attrs.define(eq=False)
class Hubs(HubChoice):
    """Hubs by zone, as this router's list of routers stands.

    Rendezvous hashing: routers that know the same members agree without a
    message. Where they don't agree for a moment, nothing is lost: a router
    does for whoever asks what it would do for itself.

    Parameters
    ----------
    membership : Membership
        The list.
    cfg : PeersSettings
        Hubs of a zone, and the size up to which a fleet has none.
    """

    membership: Membership
    cfg: PeersSettings
    _by_zone: dict[str, tuple[Member, ...]] = attrs.field(factory=dict)
    _picked_at: int = -1

    def of(self, zone: str) -> tuple[Member, ...]:
        """Return a zone's hubs, none in a fleet that is a full mesh."""
        self._refresh()
        return self._by_zone.get(zone, ())

    def zones(self) -> tuple[str, ...]:
        """Return the zones that have hubs."""
        self._refresh()
        return tuple(zone for zone, hubs in self._by_zone.items() if hubs)

    def _refresh(self) -> None:
        if self._picked_at == self.membership.version:
            return
        self._picked_at = self.membership.version
        alive = self.membership.alive()
        zones = sorted({member.zone for member in alive})
        most = self.cfg.hubs_per_zone
        if len(alive) <= self.cfg.max_peers + 1:
            most = 0
        self._by_zone = {zone: pick_hubs(alive, zone, most) for zone in zones}


def pick_hubs(
    members: tuple[Member, ...],
    zone: str,
    most: int,
) -> tuple[Member, ...]:
    """Return the members of a zone that are its hubs, the first one first.

    Those with the widest links go first, then those of the greatest weight:
    a hub tells each router of its zone what it hears, which fills the link
    of a small host.
    """
    local = pick_local(members, zone)
    local.sort(
        key=lambda member: (
            member.link,
            weigh(_HUB, member.incarnation),
            member.incarnation,
        ),
        reverse=True,
    )
    return tuple(local[:most])
