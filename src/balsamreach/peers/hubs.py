"""Selection of the hubs: routers that do shared work for their zone.

Load pattern: hundreds of routers with a few requests a second each. If each
held tokens of every team, followed the store and reported its load to every
other router, this overhead would be several times the cost of the requests and
would grow with the fleet.
"""

import attrs

from balsamreach.config.settings import PeersSettings
from balsamreach.peers.base import HubSelector
from balsamreach.peers.membership import Membership
from balsamreach.peers.rendezvous import pick_local, rendezvous_weight
from balsamreach.wire.membership import Member

_HASH_KEY = 'hub'


@attrs.define(eq=False)
class Hubs(HubSelector):
    """Hubs by zone, computed from this router's membership list.

    Rendezvous hashing: routers that know the same members agree without a
    message. A short disagreement does no harm: a router serves every other one
    that asks as it would serve itself.

    Parameters
    ----------
    membership : Membership
        The list.
    cfg : PeersSettings
        Number of hubs of a zone, and the fleet size up to which there are none.
    """

    membership: Membership
    cfg: PeersSettings
    _by_zone: dict[str, tuple[Member, ...]] = attrs.field(factory=dict)
    _hubs_version: int = -1

    def hubs_of(self, zone: str) -> tuple[Member, ...]:
        """Return a zone's hubs, none if the fleet is a full mesh."""
        self._refresh()
        return self._by_zone.get(zone, ())

    def zones(self) -> tuple[str, ...]:
        """Return the zones that have hubs."""
        self._refresh()
        return tuple(zone for zone, hubs in self._by_zone.items() if hubs)

    def has_hubs(self, routers: int) -> bool:
        """Return whether a fleet of so many routers has hubs."""
        return routers > self.cfg.max_peers + 1

    def _refresh(self) -> None:
        if self._hubs_version == self.membership.version:
            return
        self._hubs_version = self.membership.version
        alive = self.membership.alive()
        zones = sorted({member.zone for member in alive})
        limit = self.cfg.hubs_per_zone
        if not self.has_hubs(len(alive)):
            limit = 0
        self._by_zone = {zone: pick_hubs(alive, zone, limit) for zone in zones}


def pick_hubs(
    members: tuple[Member, ...],
    zone: str,
    limit: int,
) -> tuple[Member, ...]:
    """Return the hubs among the members of a zone, the preferred first.

    Members with the highest link bandwidth come first, then those with the
    highest weight: a hub sends what it receives to each router of its zone,
    which fills the link of a small host.
    """
    local = pick_local(members, zone)
    local.sort(
        key=lambda member: (
            member.link,
            rendezvous_weight(_HASH_KEY, member.incarnation),
            member.incarnation,
        ),
        reverse=True,
    )
    return tuple(local[:limit])
