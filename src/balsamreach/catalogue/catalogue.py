"""One version of the operators' configuration, indexed for requests."""

from collections.abc import Callable, Iterable, Mapping
from itertools import takewhile
from operator import is_
from typing import Self

import attrs

from balsamreach.catalogue.entries import CallerLimits, Route, Service, Team


@attrs.frozen(eq=False)
class RouteIndex:
    """Routes by host, longest prefix first.

    Parameters
    ----------
    routes : tuple of Route
        All routes.
    by_host : mapping of str to tuple of Route
        Those of each host; of two with the same prefix the earlier goes first.
    """

    routes: tuple[Route, ...] = ()
    by_host: Mapping[str, tuple[Route, ...]] = attrs.field(factory=dict)

    @classmethod
    def of(cls, routes: tuple[Route, ...]) -> Self:
        """Return the index of routes."""
        return cls(routes, _group(routes))

    def changed_to(self, routes: tuple[Route, ...]) -> Self:
        """Return the index of other routes.

        Hosts whose routes are the same objects in the same order are taken
        over. Thousands of routes sorted anew for each change would keep a
        small router from its requests.
        """
        if routes is self.routes:
            return self
        hosts = self._changed_hosts(routes)
        fresh = _group(route for route in routes if route.host in hosts)
        by_host = {**self.by_host, **fresh}
        for host in hosts.difference(fresh):
            by_host.pop(host)
        return type(self)(routes, by_host)

    def _changed_hosts(self, routes: tuple[Route, ...]) -> set[str]:
        """Return the hosts of all routes between the first and last change."""
        start = _count_shared(self.routes, routes)
        before, after = self.routes[start:], routes[start:]
        end = _count_shared(reversed(before), reversed(after))
        gone = before[: len(before) - end]
        put = after[: len(after) - end]
        return {route.host for route in (*gone, *put)}


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
    index : RouteIndex
        Finds the routes of a host.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    teams: Mapping[str, Team] = attrs.field(factory=dict)
    limits: CallerLimits = attrs.field(factory=CallerLimits)
    write: Callable[[], str] = str
    index: RouteIndex = attrs.field(
        default=attrs.Factory(
            lambda made: RouteIndex.of(made.routes),
            takes_self=True,
        ),
    )
    _by_key: dict[str, Team] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        """Index teams by key."""
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
        for route in self.index.by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_team(self, key: str) -> Team | None:
        """Return the team that holds a key."""
        return self._by_key.get(key)


def _count_shared(one: Iterable[Route], other: Iterable[Route]) -> int:
    """Return how many routes at the start are the same objects."""
    return sum(takewhile(bool, map(is_, one, other)))


def _group(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(found, key=_prefix_length, reverse=True))
        for host, found in by_host.items()
    }


def _prefix_length(route: Route) -> int:
    return len(route.prefix)
