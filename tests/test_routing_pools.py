"""Tests of pools that follow the registry, and of the load history."""

import random
import unittest

import attrs
from parameterized import parameterized

from balsamreach.config.reader import read_settings
from balsamreach.routing.breaker import Breaker
from balsamreach.routing.pools import Pools
from balsamreach.routing.state import TargetState
from balsamreach.table.rows import ENGINE, PLAIN_SERVICE, TargetRow
from balsamreach.targets.registry import Targets
from balsamreach.targets.reports import LoadReport
from tests.routing_node import MODEL, Node, make_rows

_CFG = read_settings(None, ('host.zone=zone-a',)).routing
_MODELS = ('model-a', 'model-b', 'model-c')
_KEYS = (*((ENGINE, model) for model in _MODELS), (PLAIN_SERVICE, 'ocr'))


def _row(rng, name):
    return TargetRow(
        name=name,
        address=f'127.0.0.1:{rng.randint(1, 9)}',
        zone=rng.choice(('zone-a', 'zone-b')),
        service='ocr',
        kind=rng.choice((ENGINE, ENGINE, PLAIN_SERVICE)),
        models={
            model: rng.choice((0, 1, 2)) for model in rng.sample(_MODELS, 2)
        },
        weight=rng.choice((0, 1, 2)),
        concurrency=rng.choice((1, 2)),
    )


def _members_and_weights(pools):
    """Return the members and weights of all pools, ignoring their order."""
    return {key: _group_members(pools.find(key)) for key in _KEYS}


def _group_members(pool):
    groups = (pool.full_group, pool.local) if pool else ()
    return [
        {
            (state.name, repr(state.target.row), weight)
            for state, weight in zip(group.members, group.weights, strict=True)
        }
        for group in groups
        if group is not None
    ]


class RegistryChangesTest(unittest.TestCase):
    """Rows that are added, changed and removed one by one."""

    @parameterized.expand(((1,), (2,), (3,)))
    def test_updated_pools_equal_rebuilt_pools(self, seed):
        """Incremental updates lead to the same pools as a fresh build.

        Rows are added, changed and removed in any order while pools are in
        use. If a change reached only some of a target's pools, a target out of
        rotation would still get requests for one model, or a returned one
        none.
        """
        rng = random.Random(seed)
        targets = Targets()
        pools = Pools(_CFG, targets, 'zone-a')
        for _ in range(300):
            name = f'target-{rng.randrange(6)}'
            removed = rng.randrange(5) == 0
            targets.put({name: None if removed else _row(rng, name)})
            rebuilt = Targets()
            rebuilt.update(one.row for one in targets.by_name.values())
            self.assertEqual(
                _members_and_weights(pools),
                _members_and_weights(Pools(_CFG, rebuilt, 'zone-a')),
            )
            for state in pools.states.values():
                self.assertIs(state.target, targets.by_name[state.name])

    @parameterized.expand(
        (
            ('pause', {'state': 'leaving'}, True),
            ('concurrency', {'concurrency': 1}, True),
            ('weight', {'weight': 3}, False),
            ('models', {'models': ('model-b',)}, False),
        )
    )
    def test_only_affected_pools_are_rebuilt(
        self, _name, changed_fields, is_kept
    ):
        rows = make_rows(3)
        node = Node(rows)
        find = node.picker.pools.find
        pool = find((ENGINE, MODEL))
        state = node.state(rows[0].name)
        state.take_slot(node.clock.now())
        edited = attrs.evolve(rows[0], **changed_fields)
        node.targets.put({edited.name: edited})
        self.assertIs(find((ENGINE, MODEL)) is pool, is_kept)
        self.assertIs(node.picker.pools.states[edited.name], state)

    def test_other_zones_take_no_state_until_a_request_goes_there(self):
        node = Node([*make_rows(2), *make_rows(50, zone='zone-b')])
        node.picker.pick(node.ask(), node.picker.pools.find((ENGINE, MODEL)))
        self.assertEqual(len(node.picker.pools.states), 2)


class HeldHistoryTest(unittest.TestCase):
    """The history of own requests is bounded and covers late reports."""

    def test_late_report_is_applied_as_of_its_own_time(self):
        targets = Targets()
        targets.update(make_rows(1))
        target = targets.by_name['zone-a-engine-0']
        state = TargetState(target, Breaker(5))
        for second in range(1000):
            state.take_slot(second)
            state.release_slot(second + 0.5)
        self.assertLess(len(state._held_history), 100)
        state.take_slot(1000)
        target.report = LoadReport(running=1, valid_at=990.2)
        self.assertEqual(state.load(1001), 1)
        target.report = LoadReport(running=1, valid_at=990.7)
        self.assertEqual(state.load(1001), 2)
