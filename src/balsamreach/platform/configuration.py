"""The operators' configuration as it is stored there."""

import json
from collections.abc import Callable, Iterable, Mapping, Sequence
from functools import partial
from itertools import chain, compress, count, repeat
from operator import is_not, itemgetter
from typing import Any, Generic, TypeVar

import attrs

from balsamreach.catalogue.catalogue import Catalogue, RouteIndex
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
Entry = TypeVar('Entry')

#: Entries that are read anew at once, rather than looked up by name first.
_FEW = 32
_NONE = (None, None)
_name = itemgetter('name')


@attrs.define(eq=False)
class EntriesReader(Generic[Entry]):
    """Reads the entries of one list, again and again.

    An entry is read once as long as it stays the same. Thousands of them read
    anew for each change, ten times a second, would keep a small host from its
    requests for as long as the changes last.

    Parameters
    ----------
    read_one : callable
        Reads one entry.
    """

    read_one: Callable[[Fields], Entry]
    _fields: tuple[Fields, ...] = ()
    _entries: tuple[Entry, ...] = ()

    def read(self, listed: Iterable[Fields]) -> tuple[Entry, ...]:
        """Return the entries in the order of the list."""
        fields = tuple(listed)
        # What a patch left alone is the same object, found without a look at
        # what it holds.
        others = map(is_not, fields, chain(self._fields, repeat(None)))
        places = list(compress(count(), others))
        if places or len(fields) < len(self._fields):
            self._entries = self._read_places(fields, places)
            self._fields = fields
        return self._entries

    def _read_places(
        self,
        fields: Sequence[Fields],
        places: Iterable[int],
    ) -> tuple[Entry, ...]:
        entries = list(self._entries[: len(fields)])
        entries.extend(repeat(None, len(fields) - len(entries)))
        known = self._fields
        changed = [
            place
            for place in places
            if place >= len(known) or fields[place] != known[place]
        ]
        missing = []
        # Behind one that is new or gone all others stand elsewhere.
        shift = len(known) - len(fields)
        for place in changed:
            there = place + shift
            if shift and there >= 0 and known[there] is fields[place]:
                entries[place] = self._entries[there]
            else:
                missing.append(place)
        by_name = self._by_name() if len(missing) > _FEW else {}
        for place in missing:
            entries[place] = self._read_one(by_name, fields[place])
        return tuple(entries)

    def _by_name(self) -> dict[str, tuple[Fields, Entry]]:
        pairs = zip(self._fields, self._entries, strict=True)
        return dict(zip(map(_name, self._fields), pairs, strict=True))

    def _read_one(
        self,
        known: Mapping[str, tuple[Fields, Entry]],
        one: Fields,
    ) -> Entry:
        before, entry = known.get(_name(one), _NONE)
        return entry if before == one else self.read_one(one)


@attrs.define(eq=False)
class CatalogueReader:
    """Reads one configuration after the other."""

    _services: EntriesReader[Service] = attrs.field(
        factory=lambda: EntriesReader(_read_service),
    )
    _teams: EntriesReader[Team] = attrs.field(
        factory=lambda: EntriesReader(_read_team),
    )
    _routes: EntriesReader[Route] = attrs.field(
        factory=lambda: EntriesReader(_read_route),
    )
    _index: RouteIndex = attrs.field(factory=RouteIndex)

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
        services = self._services.read(fields['services'])
        teams = self._teams.read(fields.get('tenants') or ())
        routes = self._routes.read(fields['routes'])
        self._index = self._index.changed_to(routes)
        return Catalogue(
            version=int(fields['version']),
            routes=routes,
            services={service.name: service for service in services},
            teams={team.name: team for team in teams},
            limits=_read_limits(fields.get('limits') or {}),
            write=partial(json.dumps, fields, separators=(',', ':')),
            index=self._index,
        )


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
