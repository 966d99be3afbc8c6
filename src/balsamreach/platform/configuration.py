"""Parses the configuration that operators store on the platform."""

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
from balsamreach.json_input import read_json

#: What reading a value that is not a valid configuration may raise.
MALFORMED = (
    ArithmeticError,
    AttributeError,
    KeyError,
    TypeError,
    ValueError,
)

_MS = 1000
_MAX_VERSION = 2**63 - 1
_DEFAULT_TIMEOUT_MS = 30_000
_DEFAULT_TARGET_LATENCY_MS = 1000
_STREAM = 'streaming'
_IDEMPOTENT = 'idempotent'

Fields = Mapping[str, Any]
Entry = TypeVar('Entry')

#: Number of unmatched entries above which an index by name is built.
_NAME_LOOKUP_THRESHOLD = 32
_NOT_FOUND = (None, None)
_get_name = itemgetter('name')


@attrs.define(eq=False)
class EntriesReader(Generic[Entry]):
    """Parses a list of entries and reuses entries that haven't changed.

    Parsing thousands of entries for each change, ten times a second, would
    leave a small host no CPU time for requests.

    Parameters
    ----------
    parse_entry : callable
        Parses the fields of one entry.
    """

    parse_entry: Callable[[Fields], Entry]
    _fields: tuple[Fields, ...] = ()
    _entries: tuple[Entry, ...] = ()

    def read(self, raw_entries: Iterable[Fields]) -> tuple[Entry, ...]:
        """Parse a list and return its entries in the same order."""
        fields = tuple(raw_entries)
        # A patch keeps unchanged entries as the same objects, so an identity
        # check avoids comparing their contents.
        differs = map(is_not, fields, chain(self._fields, repeat(None)))
        positions = list(compress(count(), differs))
        if positions or len(fields) < len(self._fields):
            self._entries = self._update_positions(fields, positions)
            self._fields = fields
        return self._entries

    def _update_positions(
        self,
        fields: Sequence[Fields],
        positions: Iterable[int],
    ) -> tuple[Entry, ...]:
        entries = list(self._entries[: len(fields)])
        entries.extend(repeat(None, len(fields) - len(entries)))
        known = self._fields
        changed = [
            position
            for position in positions
            if position >= len(known) or fields[position] != known[position]
        ]
        unmatched = []
        # An added or removed entry shifts the position of all later ones.
        shift = len(known) - len(fields)
        for position in changed:
            old_position = position + shift
            if (
                shift
                and old_position >= 0
                and known[old_position] is fields[position]
            ):
                entries[position] = self._entries[old_position]
            else:
                unmatched.append(position)
        by_name = (
            self._index_by_name()
            if len(unmatched) > _NAME_LOOKUP_THRESHOLD
            else {}
        )
        for position in unmatched:
            entries[position] = self._reuse_or_parse(by_name, fields[position])
        return tuple(entries)

    def _index_by_name(self) -> dict[str, tuple[Fields, Entry]]:
        pairs = zip(self._fields, self._entries, strict=True)
        return dict(zip(map(_get_name, self._fields), pairs, strict=True))

    def _reuse_or_parse(
        self,
        known: Mapping[str, tuple[Fields, Entry]],
        fields: Fields,
    ) -> Entry:
        before, entry = known.get(_get_name(fields), _NOT_FOUND)
        return entry if before == fields else self.parse_entry(fields)


@attrs.define(eq=False)
class CatalogueReader:
    """Parses successive versions of the configuration."""

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
        """Parse a JSON document from another router; None if it is invalid."""
        try:
            return self.read(read_json(document))
        except MALFORMED:
            return None

    def read(self, fields: Fields) -> Catalogue:
        """Parse a complete configuration.

        Parameters
        ----------
        fields : mapping
            The stored object; the store validates it on write.

        Returns
        -------
        Catalogue
            The parsed configuration.

        Raises
        ------
        ArithmeticError, AttributeError, KeyError, TypeError, ValueError
            If the object is not a valid configuration.
        """
        services = self._services.read(fields['services'])
        teams = self._teams.read(fields.get('tenants') or ())
        routes = self._routes.read(fields['routes'])
        self._index = self._index.with_routes(routes)
        return Catalogue(
            version=read_version(fields['version']),
            routes=routes,
            services={service.name: service for service in services},
            teams={team.name: team for team in teams},
            limits=_read_limits(fields.get('limits') or {}),
            write=partial(json.dumps, fields, separators=(',', ':')),
            index=self._index,
        )


def read_version(version: Any) -> int:
    """Return the version of a configuration.

    Raises
    ------
    TypeError, ValueError, OverflowError
        If it is no integer that heartbeats to other routers can hold.
    """
    number = int(version)
    if not 0 <= number <= _MAX_VERSION:
        raise ValueError('the version is out of bounds')
    return number


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
        aim=(fields.get('target_latency_ms') or _DEFAULT_TARGET_LATENCY_MS)
        / _MS,
        event_gap=(fields.get('gap_aim_ms') or 0) / _MS,
        priority=int(fields.get('priority') or 0),
        most_targets=int(fields.get('max_attempts') or 1),
        public=bool(fields.get('public_access')),
    )


def _read_splits(fields: Fields) -> tuple[Split, ...]:
    # A route has either a single service or a list of weighted services.
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
            # The stride is the number of tokens per stream event.
            tokens_per_event=int(engine.get('stride') or 1),
            backups=engine.get('backups') is True,
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
    default = CallerLimits()
    return CallerLimits(
        header_bytes=int(
            fields.get('max_header_bytes') or default.header_bytes
        ),
        body_bytes=int(fields.get('max_body_bytes') or default.body_bytes),
        header_time=_seconds(fields, 'header_timeout_ms', default.header_time),
        idle_time=_seconds(fields, 'idle_timeout_ms', default.idle_time),
    )


def _seconds(fields: Fields, name: str, default: float) -> float:
    milliseconds = fields.get(name)
    return milliseconds / _MS if milliseconds else default
