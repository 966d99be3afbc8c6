"""Which incarnation holds an address."""

import attrs

from balsamreach.wire.membership import Member


@attrs.define(eq=False)
class Holders:
    """The router held to be alive on each address, one at most."""

    _holders: dict[str, Member] = attrs.field(factory=dict)

    def find(self, address: str) -> Member | None:
        """Return the holder of an address."""
        return self._holders.get(address)

    def contend(self, member: Member) -> Member | None:
        """Let the later start of two on one address hold it.

        Returns
        -------
        Member or None
            The loser, None if nobody else claims the address.
        """
        other = self.find(member.address)
        if other is None or other.incarnation == member.incarnation:
            self.seize(member)
            return None
        if _start(other) > _start(member):
            return member
        self.seize(member)
        return other

    def seize(self, member: Member) -> None:
        """Let a router hold its address whoever held it before."""
        self._holders[member.address] = member

    def leave(self, member: Member) -> None:
        """Free the address if it is this router that holds it."""
        holder = self.find(member.address)
        if holder is not None and holder.incarnation == member.incarnation:
            self._holders.pop(member.address)


def _start(member: Member) -> tuple[float, str]:
    return (member.started, member.incarnation)
