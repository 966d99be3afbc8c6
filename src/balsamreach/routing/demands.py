"""Demand for teams' rates as it was told, and the shares it earns."""

from collections import OrderedDict

import attrs

#: Parts of a limit are told in millionths.
MILLION = 1_000_000
#: Part of a budget that is left, evenly, to those without demand.
RESERVE = 0.05


@attrs.define
class Told:
    """The newest word of one holder.

    Parameters
    ----------
    incarnation : str
        Who sent it.
    window : int
        Its number; the sender's next word has a higher one.
    expires : float
        Monotonic seconds after which it counts no more.
    routers : int
        Routers it speaks for.
    parts : dict of int to int
        Wanted part of each team's limit, in millionths.
    urgent : bool
        Whether the holder refuses requests meanwhile.
    """

    incarnation: str
    window: int
    expires: float
    routers: int
    parts: dict[int, int]
    urgent: bool = False


@attrs.define
class Demands:
    """Words of several holders, such as the routers of a zone.

    Sums are kept up with each word, so that an answer needs one look-up
    for each team, whatever the number of holders.

    Parameters
    ----------
    began_at : float
        Monotonic seconds of the first word.
    routers : int
        Routers that the words which count now speak for.
    """

    began_at: float
    routers: int = 0
    _told: OrderedDict[str, Told] = attrs.field(factory=OrderedDict)
    _sums: dict[int, int] = attrs.field(factory=dict)

    def put(self, holder: str, told: Told) -> bool:
        """Take a word; False if the same sender's newer one is known."""
        known = self._told.get(holder)
        same = known is not None and known.incarnation == told.incarnation
        if known is not None and same and known.window >= told.window:
            return False
        self._drop(holder)
        self._told[holder] = told
        self._add(told, 1)
        return True

    def find(self, holder: str) -> Told | None:
        """Return a holder's newest word."""
        return self._told.get(holder)

    def urgent(self) -> tuple[str, ...]:
        """Return the holders that wait for more; they count as served."""
        holders = [name for name, told in self._told.items() if told.urgent]
        for name in holders:
            self._told[name].urgent = False
        return tuple(holders)

    def expire(self, now: float) -> None:
        """Let go of holders that have been silent for too long."""
        silent = [
            holder for holder, told in self._told.items() if told.expires < now
        ]
        for holder in silent:
            self._drop(holder)

    def sums(self) -> dict[int, int]:
        """Return the wanted part of each team's limit, in millionths."""
        return dict(self._sums)

    def total(self, team: int) -> float:
        """Return the part of its limit that a team wants in all."""
        return self._sums.get(team, 0) / MILLION

    def share(self, told: Told, team: int, budget: float) -> float:
        """Return the share of a team's limit for one holder.

        Each gets what it wants while the budget lasts, and else in
        proportion. Half of the rest goes by what is wanted, so that it can
        grow, and half to all evenly. The shares of all holders sum up to
        the budget.

        Parameters
        ----------
        told : Told
            The holder's word, one of those that count.
        team : int
            The team.
        budget : float
            Part of the limit that all holders have together.
        """
        wanted = told.parts.get(team, 0) / MILLION
        total = self.total(team)
        kept = (1 - RESERVE) * budget
        fitting = min(1, kept / total) if total else 1
        rest = max(budget - total, RESERVE * budget)
        even = told.routers / self.routers
        grown = wanted / total if total else even
        return wanted * fitting + rest * (grown + even) / 2

    def _drop(self, holder: str) -> None:
        known = self._told.pop(holder, None)
        if known is not None:
            self._add(known, -1)

    def _add(self, told: Told, sign: int) -> None:
        self.routers += sign * told.routers
        for team, part in told.parts.items():
            total = self._sums.get(team, 0) + sign * part
            if total > 0:
                self._sums[team] = total
            else:
                self._sums.pop(team, None)
