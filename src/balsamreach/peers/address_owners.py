"""Assignment of addresses to router incarnations."""

import attrs

from balsamreach.wire.membership import Member


@attrs.define(eq=False)
class AddressOwners:
    """The one router believed alive on each address."""

    _owners: dict[str, Member] = attrs.field(factory=dict)

    def find(self, address: str) -> Member | None:
        """Return the owner of an address."""
        return self._owners.get(address)

    def claim(self, member: Member) -> Member | None:
        """Assign the address to whichever router started later.

        Returns
        -------
        Member or None
            The router that started earlier, None if no other claims the
            address.
        """
        other = self.find(member.address)
        if other is None or other.incarnation == member.incarnation:
            self.assign(member)
            return None
        if _start(other) > _start(member):
            return member
        self.assign(member)
        return other

    def assign(self, member: Member) -> None:
        """Assign the address of a router to it, whoever had it before."""
        self._owners[member.address] = member

    def release(self, member: Member) -> None:
        """Free the address of a router if the router owns it."""
        owner = self.find(member.address)
        if owner is not None and owner.incarnation == member.incarnation:
            self._owners.pop(member.address)


def _start(member: Member) -> tuple[float, str]:
    return (member.started, member.incarnation)
