"""Tests of configurations that are read one after the other."""

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


_MAKE = {'routes': _route, 'tenants': _team, 'services': _service}


def _longest(routes, host, path):
    """Return the first of a host's routes with the longest prefix."""
    found = [
        route
        for route in routes
        if route.host == host and path.startswith(route.prefix)
    ]
    return max(found, key=lambda route: len(route.prefix), default=None)


class _Operators:
    """Changes a configuration at random."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.made = 0
        self.fields = {'version': 0, 'limits': {}}
        size = self.rng.choice(_SIZES)
        for field in _MAKE:
            self.fields[field] = [self.new(field) for _ in range(size)]

    def new(self, field):
        self.made += 1
        return _MAKE[field](f'n{self.made}', self.rng)

    def change(self):
        """Change some entries, and return the whole as it came by JSON."""
        self.fields['version'] += 1
        most = self.rng.choice((0, 1, 2, 50))
        for _ in range(most):
            field = self.rng.choice(tuple(_MAKE))
            edit = self.rng.choice(
                (self.put, self.put, self.add, self.drop, self.move),
            )
            edit(field, self.fields[field])
        return json.loads(json.dumps(self.fields))

    def put(self, field, entries):
        if not entries:
            return
        place = self.rng.randrange(len(entries))
        fresh = self.new(field)
        if self.rng.randrange(5):
            fresh['name'] = entries[place]['name']
        entries[place] = fresh

    def add(self, field, entries):
        place = self.rng.choice((0, len(entries) // 2, len(entries)))
        entries.insert(place, self.new(field))

    def drop(self, _field, entries):
        if entries:
            entries.pop(self.rng.randrange(len(entries)))

    def move(self, _field, entries):
        if entries:
            entry = entries.pop(self.rng.randrange(len(entries)))
            entries.insert(self.rng.randrange(len(entries) + 1), entry)


class ReadAgainTest(unittest.TestCase):
    """What is read after others is what would be read alone."""

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
                _longest(fresh.routes, host.lower(), path),
            )

    @parameterized.expand([(seed,) for seed in _SEEDS])
    def test_any_changes(self, seed):
        """Symptom: requests are answered by routes that nobody wrote.

        Sequence: entries change, come, go and move, some at a time; a router
        reads each version, from the store or as a patch.
        Cause: an entry was taken for one that stood there before.
        """
        operators = _Operators(seed)
        reader = CatalogueReader()
        known = operators.change()
        self.assert_same(reader.read(known), known)
        for _ in range(_STEPS):
            after = operators.change()
            if operators.rng.getrandbits(1):
                patch = json.loads(json.dumps(make_patch(known, after)))
                known = apply_patch(known, patch)
            else:
                known = after
            self.assertEqual(known, after)
            self.assert_same(reader.read(known), after)

    @parameterized.expand([(seed,) for seed in _SEEDS])
    def test_earlier_ones_stay_as_they_were(self, seed):
        """Symptom: a request in progress finds its route changed.

        Sequence: a request runs under one version; the next is read.
        Cause: what both have in common was changed in place.
        """
        operators = _Operators(seed)
        reader = CatalogueReader()
        versions = [operators.change() for _ in range(_STEPS)]
        read = [reader.read(fields) for fields in versions]
        for found, fields in zip(read, versions, strict=True):
            self.assert_same(found, fields)

    def test_one_that_could_not_be_read(self):
        """Symptom: a broken version leaves the next one wrong.

        Sequence: a version holds an entry without a name; the next is sound.
        Cause: the reader kept half of what it could not read.
        """
        operators = _Operators(0)
        reader = CatalogueReader()
        for field in _MAKE:
            fields = operators.change()
            reader.read(fields)
            broken = operators.change()
            broken[field] = [*broken[field][1:], {'host': 'a'}]
            with self.assertRaises(KeyError):
                reader.read(broken)
            after = operators.change()
            self.assert_same(reader.read(after), after)

    def test_a_name_that_two_routes_have(self):
        operators = _Operators(3)
        reader = CatalogueReader()
        for _ in range(_STEPS):
            fields = operators.change()
            for route in fields['routes']:
                route['name'] = operators.rng.choice('ab')
            self.assert_same(reader.read(fields), fields)


_NEW = _route('new', random.Random(2))
#: Changes of a list, and how many routes are read anew.
_CHANGES = (
    ('nothing', lambda routes: routes, 0),
    ('one is gone', lambda routes: routes[:50] + routes[51:], 0),
    ('the first are gone', lambda routes: routes[9:], 0),
    ('the last are gone', lambda routes: routes[:-9], 0),
    ('another order', lambda routes: list(reversed(routes)), 0),
    ('a new one', lambda routes: [*routes, _NEW], 1),
    ('a new one first', lambda routes: [_NEW, *routes], 1),
    ('one for another', lambda routes: [_NEW, *routes[1:]], 1),
)


class SharedEntriesTest(unittest.TestCase):
    """Entries that stay the same are read once."""

    def setUp(self):
        rng = random.Random(1)
        self.fields = {
            'version': 1,
            'services': [_service('s', rng)],
            'routes': [_route(f'r{number}', rng) for number in range(200)],
        }
        self.reader = CatalogueReader()
        self.before = self.reader.read(self.fields)

    def read_anew(self, after):
        """Return how many routes were read anew."""
        known = set(map(id, self.before.routes))
        found = self.reader.read(after)
        return sum(id(route) not in known for route in found.routes)

    @parameterized.expand(_CHANGES)
    def test_one_change(self, _, change, anew):
        """Symptom: small hosts are late with requests while routes change.

        Sequence: one of many routes changes, comes, or goes.
        Cause: each change was read as a whole.
        """
        after = self.fields | {'routes': change(self.fields['routes'])}
        decoded = json.loads(json.dumps(after))
        self.assertEqual(self.read_anew(decoded), anew)

    @parameterized.expand(_CHANGES)
    def test_one_change_by_a_patch(self, _, change, anew):
        after = self.fields | {'routes': change(self.fields['routes'])}
        patch = json.loads(json.dumps(make_patch(self.fields, after)))
        patched = apply_patch(self.fields, patch)
        self.assertEqual(self.read_anew(patched), anew)

    def test_hosts_of_no_changed_route_are_taken_over(self):
        routes = list(self.fields['routes'])
        changed = routes[7]['host'].lower()
        routes[7] = routes[7] | {'timeout_ms': 7}
        after = self.reader.read(self.fields | {'routes': routes}).index
        taken_over = {
            host
            for host, found in self.before.index.by_host.items()
            if found is after.by_host[host]
        }
        self.assertEqual(taken_over, set(after.by_host).difference({changed}))
