"""Tests of patches between two versions of a row's object."""

import itertools
import json
import random
import unittest

from parameterized import parameterized

from balsamreach.platform.patches import apply_patch, make_patch

_SEEDS = range(60)


def _entries(*pairs):
    return [{'name': name, 'weight': weight} for name, weight in pairs]


_BEFORE = {
    'version': 3,
    'routes': _entries(('a', 1), ('b', 2), ('c', 3)),
    'limits': {'bytes': 10},
}


class PatchesTest(unittest.TestCase):
    """Applying a patch yields the object that it was made for."""

    @parameterized.expand(
        (
            ('nothing', {}),
            ('a field', {'version': 4}),
            ('an entry', {'routes': _entries(('a', 1), ('b', 7), ('c', 3))}),
            ('a new entry', {'routes': [*_BEFORE['routes'], {'name': 'd'}]}),
            ('an entry that is gone', {'routes': _entries(('a', 1), ('c', 3))}),
            (
                'another order',
                {'routes': _entries(('c', 3), ('b', 2), ('a', 1))},
            ),
            (
                'a new one first',
                {'routes': [{'name': 'd'}, *_BEFORE['routes']]},
            ),
            (
                'another name at its place',
                {'routes': _entries(('a', 1), ('x', 2), ('c', 3))},
            ),
            (
                'names that change places',
                {'routes': _entries(('b', 1), ('a', 2), ('c', 3))},
            ),
            (
                'a name that another has',
                {'routes': _entries(('a', 1), ('c', 2), ('c', 3))},
            ),
            (
                'a name that is gone',
                {'routes': [{'weight': 1}, *_BEFORE['routes'][1:]]},
            ),
            (
                'a name that is no text',
                {'routes': [{'name': [1]}, *_BEFORE['routes'][1:]]},
            ),
            ('an entry that is none', {'routes': [7, *_BEFORE['routes'][1:]]}),
            ('no entries', {'routes': []}),
            ('no names', {'routes': [1, 2]}),
            ('a name twice', {'routes': _entries(('a', 1), ('a', 2))}),
            ('an inner object', {'limits': {'bytes': 20}}),
            ('a new list', {'teams': _entries(('t', 1))}),
        ),
    )
    def test_one_change(self, _, change):
        after = _BEFORE | change
        patch = json.loads(json.dumps(make_patch(_BEFORE, after)))
        self.assertEqual(apply_patch(_BEFORE, patch), after)

    @parameterized.expand(
        (
            ('one name', _entries(('a', 1), ('b', 2))),
            ('a name twice', _entries(('a', 1), ('a', 2))),
            ('no names', [{}, {}]),
            ('no objects', [1, 2]),
        ),
    )
    def test_lists_with_and_without_unique_names(self, _, entries):
        kinds = (
            {'routes': entries},
            {'routes': [*entries[:1], {'name': 'a', 'weight': 3}]},
            {'routes': _entries(('a', 1), ('b', 3))},
            {'routes': _entries(('a', 1))},
        )
        for one, other in itertools.permutations(kinds, 2):
            self.assertEqual(apply_patch(one, make_patch(one, other)), other)

    def test_removed_field(self):
        after = {'version': 4, 'routes': _BEFORE['routes']}
        self.assertEqual(
            apply_patch(_BEFORE, make_patch(_BEFORE, after)),
            after,
        )

    @parameterized.expand([(seed,) for seed in _SEEDS])
    def test_random_change(self, seed):
        rng = random.Random(seed)
        before, after = (_random_fields(rng) for _ in range(2))
        self.assertEqual(
            apply_patch(before, make_patch(before, after)),
            after,
        )

    def test_patch_size_is_that_of_the_change(self):
        """Guards against sending the whole configuration for each change.

        With 1,800 routes, of which one changes ten times a second, hosts with
        slow links would fall seconds behind.
        """
        routes = _entries(*((f'route-{number}', 1) for number in range(1800)))
        before = {'version': 1, 'routes': routes}
        routes = list(routes)
        routes[7] = {'name': 'route-7', 'weight': 2}
        after = {'version': 2, 'routes': routes}
        patch = make_patch(before, after)
        self.assertLess(len(json.dumps(patch)), 200)
        self.assertEqual(apply_patch(before, patch), after)

    def test_original_is_not_modified(self):
        kept = json.loads(json.dumps(_BEFORE))
        apply_patch(_BEFORE, make_patch(_BEFORE, {'routes': []}))
        self.assertEqual(_BEFORE, kept)


def _random_fields(rng):
    names = rng.sample('abcdefgh', rng.randrange(8))
    if rng.getrandbits(1):
        names.sort()
    fields = {
        'version': rng.randrange(3),
        'routes': _entries(*((name, rng.randrange(2)) for name in names)),
        'teams': _entries(*((name, 1) for name in names[:2])),
    }
    if rng.getrandbits(1):
        fields.pop(rng.choice(tuple(fields)))
    return fields
