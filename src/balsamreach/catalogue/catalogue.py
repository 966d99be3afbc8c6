"""One version of the operators' configuration, indexed for requests."""

from collections.abc import Callable, Mapping

import attrs

from balsamreach.catalogue.entries import CallerLimits, Route, Service, Team


@attrs.define(eq=False)
class Catalogue:
    """A whole configuration; nothing in it changes once it is made.

    Parameters
    ----------
    version : int
        Raised by every change.
    routes : tuple of Route
        All routes.
    services : mapping of str to Service
        Services by name.
    teams : mapping of str to Team
        Teams by name; empty where requests need no key.
    limits : CallerLimits
        What a caller may send.
    write : callable
        Returns the text that other routers get. Few ask for it, and it takes
        milliseconds to write.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    teams: Mapping[str, Team] = attrs.field(factory=dict)
    limits: CallerLimits = attrs.field(factory=CallerLimits)
    write: Callable[[], str] = str
    _by_host: dict[str, list[Route]] = attrs.field(factory=dict, init=False)
    _by_key: dict[str, Team] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        """Index routes by host, longest prefix first, and teams by key."""
        for route in self.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for found in self._by_host.values():
            found.sort(key=_prefix_length, reverse=True)
        for team in self.teams.values():
            self._by_key.update(dict.fromkeys(team.keys, team))

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins a path.

        Parameters
        ----------
        host : str
            Host that the caller asked for; a port is left aside.
        path : str
            Path without its query.
        """
        name = host.partition(':')[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_team(self, key: str) -> Team | None:
        """Return the team that holds a key."""
        return self._by_key.get(key)


def _prefix_length(route: Route) -> int:
    return len(route.prefix)
