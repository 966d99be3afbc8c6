"""Tests of parsing successive versions of a configuration."""

import copy
import itertools
import json
import random
import unittest

from parameterized import parameterized

from balsamreach.platform.configuration import CatalogueReader
from balsamreach.platform.patches import apply_patch, make_patch

_SEEDS = range(80)
_STEPS = 15
_SIZES = (0, 1, 6, 90)
_HOSTS = ('a.example', 'B.example', 'c.example')
_PREFIXES = ('/', '/x/', '/y/', '/x/y/', '/x/y/z/')
_PATHS = ('/', '/x/a', '/x/y/z/', '/z')
_KINDS = ('streaming', 'idempotent', 'plain')


def _route(name, rng):
    return {
        'name': name,
        'host': rng.choice(_HOSTS),
        'prefix': rng.choice(_PREFIXES),
        'service': rng.choice('st'),
        'route_type': rng.choice(_KINDS),
        'timeout_ms': rng.randrange(1, 4) * 500,
    }


def _team(name, rng):
    return {
        'name': name,
        'api_keys': [f'{name}-{rng.randrange(3)}'],
        'prepaid': rng.randrange(3),
    }


def _service(name, rng):
    return {'name': name, 'max_conns': rng.randrange(3)}


_FACTORIES = {'routes': _route, 'tenants': _team, 'services': _service}


def _find_longest_prefix(routes, host, path):
    """Return the first route of a host with the longest matching prefix."""
    found = [
        route
        for route in routes
        if route.host == host and path.startswith(route.prefix)
    ]
    return max(found, key=lambda route: len(route.prefix), default=None)


class _RandomConfiguration:
    """A configuration that changes at random."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.created = 0
        self.fields = {'version': 0, 'limits': {}}
        size = self.rng.choice(_SIZES)
        for field in _FACTORIES:
            self.fields[field] = [self.make(field) for _ in range(size)]

    def make(self, field):
        self.created += 1
        return _FACTORIES[field](f'n{self.created}', self.rng)

    def change(self):
        """Change some entries; return the configuration decoded from JSON."""
        self.fields['version'] += 1
        most = self.rng.choice((0, 1, 2, 50))
        for _ in range(most):
            field = self.rng.choice(tuple(_FACTORIES))
            edit = self.rng.choice(
                (self.replace, self.replace, self.add, self.remove, self.move),
            )
            edit(field, self.fields[field])
        return json.loads(json.dumps(self.fields))

    def replace(self, field, entries):
        if not entries:
            return
        position = self.rng.randrange(len(entries))
        fresh = self.make(field)
        if self.rng.randrange(5):
            fresh['name'] = entries[position]['name']
        entries[position] = fresh

    def add(self, field, entries):
        position = self.rng.choice((0, len(entries) // 2, len(entries)))
        entries.insert(position, self.make(field))

    def remove(self, _field, entries):
        if entries:
            entries.pop(self.rng.randrange(len(entries)))

    def move(self, _field, entries):
        if entries:
            entry = entries.pop(self.rng.randrange(len(entries)))
            entries.insert(self.rng.randrange(len(entries) + 1), entry)


class SuccessiveReadsTest(unittest.TestCase):
    """A reader with reused entries returns the same as a new reader."""

    def assert_same(self, found, fields):
        fresh = CatalogueReader().read(copy.deepcopy(fields))
        self.assertEqual(found.version, fresh.version)
        self.assertEqual(found.routes, fresh.routes)
        self.assertEqual(found.services, fresh.services)
        self.assertEqual(found.teams, fresh.teams)
        self.assertEqual(found.index.by_host, fresh.index.by_host)
        self.assertEqual(json.loads(found.write()), fields)
        keys = {key for team in fresh.teams.values() for key in team.keys}
        for key in keys:
            self.assertEqual(found.find_team(key), fresh.find_team(key))
        for host, path in itertools.product(_HOSTS, _PATHS):
            self.assertEqual(
                found.find_route(host, path),
                _find_longest_prefix(fresh.routes, host.lower(), path),
            )

    @parameterized.expand([(seed,) for seed in _SEEDS])
    def test_random_changes(self, seed):
        """Guards against reusing the wrong entry.

        Entries change, come, go and move between versions, which come from
        the store or as patches. Reusing an entry of the old list for another
        one would serve requests by routes that nobody wrote.
        """
        source = _RandomConfiguration(seed)
        reader = CatalogueReader()
        known = source.change()
        self.assert_same(reader.read(known), known)
        for _ in range(_STEPS):
            after = source.change()
            if source.rng.getrandbits(1):
                patch = json.loads(json.dumps(make_patch(known, after)))
                known = apply_patch(known, patch)
            else:
                known = after
            self.assertEqual(known, after)
            self.assert_same(reader.read(known), after)

    @parameterized.expand([(seed,) for seed in _SEEDS])
    def test_earlier_versions_are_not_modified(self, seed):
        """Guards against modifying shared entries in place.

        A request in progress keeps using its version while the next one is
        read, and must not see its route change.
        """
        source = _RandomConfiguration(seed)
        reader = CatalogueReader()
        versions = [source.change() for _ in range(_STEPS)]
        read = [reader.read(fields) for fields in versions]
        for found, fields in zip(read, versions, strict=True):
            self.assert_same(found, fields)

    def test_version_after_an_invalid_one(self):
        """Guards against keeping a part of an invalid version.

        A version has an entry without a name; the next one is valid and must
        be read correctly.
        """
        source = _RandomConfiguration(0)
        reader = CatalogueReader()
        for field in _FACTORIES:
            fields = source.change()
            reader.read(fields)
            broken = source.change()
            broken[field] = [*broken[field][1:], {'host': 'a'}]
            with self.assertRaises(KeyError):
                reader.read(broken)
            after = source.change()
            self.assert_same(reader.read(after), after)

    def test_duplicate_route_names(self):
        source = _RandomConfiguration(3)
        reader = CatalogueReader()
        for _ in range(_STEPS):
            fields = source.change()
            for route in fields['routes']:
                route['name'] = source.rng.choice('ab')
            self.assert_same(reader.read(fields), fields)


_NEW_ROUTE = _route('new', random.Random(2))
#: Changes of a list, and the number of routes parsed again.
_ROUTE_CHANGES = (
    ('nothing', lambda routes: routes, 0),
    ('one is gone', lambda routes: routes[:50] + routes[51:], 0),
    ('the first are gone', lambda routes: routes[9:], 0),
    ('the last are gone', lambda routes: routes[:-9], 0),
    ('another order', lambda routes: list(reversed(routes)), 0),
    ('a new one', lambda routes: [*routes, _NEW_ROUTE], 1),
    ('a new one first', lambda routes: [_NEW_ROUTE, *routes], 1),
    ('one for another', lambda routes: [_NEW_ROUTE, *routes[1:]], 1),
)


class SharedEntriesTest(unittest.TestCase):
    """Unchanged entries are parsed once."""

    def setUp(self):
        rng = random.Random(1)
        self.fields = {
            'version': 1,
            'services': [_service('s', rng)],
            'routes': [_route(f'r{number}', rng) for number in range(200)],
        }
        self.reader = CatalogueReader()
        self.before = self.reader.read(self.fields)

    def count_parsed(self, after):
        """Return the number of routes that were parsed again."""
        known = set(map(id, self.before.routes))
        found = self.reader.read(after)
        return sum(id(route) not in known for route in found.routes)

    @parameterized.expand(_ROUTE_CHANGES)
    def test_one_change(self, _, change, parsed):
        """Guards against parsing all routes for each change.

        On a small host that delays requests while routes change, come or go.
        """
        after = self.fields | {'routes': change(self.fields['routes'])}
        decoded = json.loads(json.dumps(after))
        self.assertEqual(self.count_parsed(decoded), parsed)

    @parameterized.expand(_ROUTE_CHANGES)
    def test_one_change_as_patch(self, _, change, parsed):
        after = self.fields | {'routes': change(self.fields['routes'])}
        patch = json.loads(json.dumps(make_patch(self.fields, after)))
        patched = apply_patch(self.fields, patch)
        self.assertEqual(self.count_parsed(patched), parsed)

    def test_index_of_unchanged_hosts_is_reused(self):
        routes = list(self.fields['routes'])
        changed = routes[7]['host'].lower()
        routes[7] = routes[7] | {'timeout_ms': 7}
        after = self.reader.read(self.fields | {'routes': routes}).index
        reused = {
            host
            for host, found in self.before.index.by_host.items()
            if found is after.by_host[host]
        }
        self.assertEqual(reused, set(after.by_host).difference({changed}))
