"""The operators' configuration as it is stored there."""

import json
from collections.abc import Iterable, Mapping
from functools import partial
from typing import Any

import attrs

from balsamreach.catalogue.catalogue import Catalogue
from balsamreach.catalogue.entries import (
    CallerLimits,
    EngineTraits,
    Route,
    Service,
    Split,
    Team,
)

_MS = 1000
_DEFAULT_TIMEOUT_MS = 30_000
_DEFAULT_AIM_MS = 1000
_STREAM = 'streaming'
_IDEMPOTENT = 'idempotent'

Fields = Mapping[str, Any]


@attrs.define(eq=False)
class CatalogueReader:
    """Reads one configuration after the other.

    Routes are read once as long as they stay the same. Thousands of them read
    anew for each change, ten times a second, would keep a small host from its
    requests for as long as the changes last.
    """

    _routes: dict[str, tuple[Fields, Route]] = attrs.field(factory=dict)

    def decode(self, document: str) -> Catalogue | None:
        """Read what another router sent; None if it is none."""
        try:
            return self.read(json.loads(document))
        except (KeyError, TypeError, ValueError):
            return None

    def read(self, fields: Fields) -> Catalogue:
        """Read a whole configuration.

        Parameters
        ----------
        fields : mapping
            The stored object; the store takes only valid ones.

        Returns
        -------
        Catalogue
            The same in our terms.

        Raises
        ------
        KeyError, TypeError, ValueError
            If the object is none that the store would take.
        """
        services = [_read_service(entry) for entry in fields['services']]
        teams = [_read_team(entry) for entry in fields.get('tenants') or ()]
        return Catalogue(
            version=int(fields['version']),
            routes=self._read_routes(fields['routes']),
            services={service.name: service for service in services},
            teams={team.name: team for team in teams},
            limits=_read_limits(fields.get('limits') or {}),
            write=partial(json.dumps, fields, separators=(',', ':')),
        )

    def _read_routes(self, entries: Iterable[Fields]) -> tuple[Route, ...]:
        read = [self._read_route(entry) for entry in entries]
        self._routes = {route.name: (entry, route) for entry, route in read}
        return tuple(route for _, route in read)

    def _read_route(self, entry: Fields) -> tuple[Fields, Route]:
        known = self._routes.get(entry['name'])
        if known is not None and known[0] == entry:
            return known
        return (entry, _read_route(entry))


def _read_route(fields: Fields) -> Route:
    kind = fields['route_type']
    return Route(
        name=fields['name'],
        host=fields['host'].lower(),
        prefix=fields['prefix'],
        splits=_read_splits(fields),
        streams=kind == _STREAM,
        idempotent=kind == _IDEMPOTENT,
        resumable=bool(fields.get('stream_resume')),
        timeout=(fields.get('timeout_ms') or _DEFAULT_TIMEOUT_MS) / _MS,
        aim=(fields.get('target_latency_ms') or _DEFAULT_AIM_MS) / _MS,
        event_gap=(fields.get('gap_aim_ms') or 0) / _MS,
        priority=int(fields.get('priority') or 0),
        most_targets=int(fields.get('max_attempts') or 1),
        public=bool(fields.get('public_access')),
    )


def _read_splits(fields: Fields) -> tuple[Split, ...]:
    # A route names either one service or a list of services by weight.
    split = fields.get('traffic_split')
    if split:
        return tuple(Split(one['service'], one['weight']) for one in split)
    return (Split(fields['service']),)


def _read_service(fields: Fields) -> Service:
    engine = fields.get('engine')
    traits = None
    if engine:
        traits = EngineTraits(
            slots=int(engine['slots']),
            cache_tokens=int(engine['kv_capacity']),
            # A stride is the number of tokens in one event of a stream.
            tokens_per_event=int(engine.get('stride') or 1),
        )
    return Service(
        name=fields['name'],
        most_connections=int(fields.get('max_conns') or 0),
        engine=traits,
        cold_rate=float(fields.get('cold_per_s') or 0),
        cold_time=float(fields.get('cold_start_s') or 0),
    )


def _read_team(fields: Fields) -> Team:
    prepaid = fields.get('prepaid')
    return Team(
        name=fields['name'],
        keys=tuple(fields.get('api_keys') or ()),
        priority=fields.get('priority'),
        prepaid=None if prepaid is None else int(prepaid),
    )


def _read_limits(fields: Fields) -> CallerLimits:
    usual = CallerLimits()
    return CallerLimits(
        header_bytes=int(fields.get('max_header_bytes') or usual.header_bytes),
        body_bytes=int(fields.get('max_body_bytes') or usual.body_bytes),
        header_time=_seconds(fields, 'header_timeout_ms', usual.header_time),
        idle_time=_seconds(fields, 'idle_timeout_ms', usual.idle_time),
    )


def _seconds(fields: Fields, name: str, usual: float) -> float:
    milliseconds = fields.get(name)
    return milliseconds / _MS if milliseconds else usual
