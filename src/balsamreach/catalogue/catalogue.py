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
        The routes of each host; of two with the same prefix the earlier one
        comes first.
    """

    routes: tuple[Route, ...] = ()
    by_host: Mapping[str, tuple[Route, ...]] = attrs.field(factory=dict)

    @classmethod
    def of(cls, routes: tuple[Route, ...]) -> Self:
        """Build the index of some routes."""
        return cls(routes, _group_by_host(routes))

    def with_routes(self, routes: tuple[Route, ...]) -> Self:
        """Return the index of a changed tuple of routes.

        Hosts whose routes are the same objects in the same order are reused:
        sorting thousands of routes for each change would keep a small router
        from serving requests.
        """
        if routes is self.routes:
            return self
        hosts = self._changed_hosts(routes)
        fresh = _group_by_host(route for route in routes if route.host in hosts)
        by_host = {**self.by_host, **fresh}
        for host in hosts.difference(fresh):
            by_host.pop(host)
        return type(self)(routes, by_host)

    def _changed_hosts(self, routes: tuple[Route, ...]) -> set[str]:
        """Return the hosts of all routes between the first and last change."""
        start = _count_same_at_start(self.routes, routes)
        before, after = self.routes[start:], routes[start:]
        end = _count_same_at_start(reversed(before), reversed(after))
        removed = before[: len(before) - end]
        added = after[: len(after) - end]
        return {route.host for route in (*removed, *added)}


@attrs.define(eq=False)
class Catalogue:
    """A complete, immutable configuration.

    Parameters
    ----------
    version : int
        Increased by every change.
    routes : tuple of Route
        All routes.
    services : mapping of str to Service
        Services by name.
    teams : mapping of str to Team
        Teams by name; empty if requests need no key.
    limits : CallerLimits
        Limits on callers' requests and connections.
    write : callable
        Returns the document sent to other routers. Created on demand: few
        routers ask for it and writing it takes milliseconds.
    index : RouteIndex
        Routes by host.
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
    _team_by_key: dict[str, Team] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        """Index teams by key."""
        for team in self.teams.values():
            self._team_by_key.update(dict.fromkeys(team.keys, team))

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix.

        Parameters
        ----------
        host : str
            Requested host; a port is ignored.
        path : str
            Path without its query.

        Returns
        -------
        Route or None
            None if no route matches.
        """
        name = host.partition(':')[0].lower()
        for route in self.index.by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_team(self, key: str) -> Team | None:
        """Return the team with a key, None if there is none."""
        return self._team_by_key.get(key)


def _count_same_at_start(one: Iterable[Route], other: Iterable[Route]) -> int:
    """Return how many routes at the start are the same objects."""
    return sum(takewhile(bool, map(is_, one, other)))


def _group_by_host(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(found, key=_prefix_length, reverse=True))
        for host, found in by_host.items()
    }


def _prefix_length(route: Route) -> int:
    return len(route.prefix)
