"""Tests of pools that follow the registry row by row."""

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


def _seen(pools):
    """Return what a choice would see, in an order of its own."""
    return {key: _seen_pool(pools.find(key)) for key in _KEYS}


def _seen_pool(pool):
    groups = (pool.everyone, pool.near) if pool else ()
    return [
        {
            (state.name, repr(state.target.row), weight)
            for state, weight in zip(group.members, group.weights, strict=True)
        }
        for group in groups
        if group is not None
    ]


class FollowingTest(unittest.TestCase):
    """Rows that come, change and go one by one."""

    @parameterized.expand(((1,), (2,), (3,)))
    def test_pools_are_what_they_would_be_if_made_anew(self, seed):
        """An edit leaves no pool behind.

        Symptom: a target out of rotation still gets requests of one model,
        or one that came back gets none.
        Sequence: rows come, change and go in any order, pools in use.
        Cause: a change of a row was followed in some of its pools only.
        """
        rng = random.Random(seed)
        targets = Targets()
        pools = Pools(_CFG, targets, 'zone-a')
        for _ in range(300):
            name = f'target-{rng.randrange(6)}'
            gone = rng.randrange(5) == 0
            targets.put({name: None if gone else _row(rng, name)})
            anew = Targets()
            anew.update(one.row for one in targets.by_name.values())
            self.assertEqual(
                _seen(pools),
                _seen(Pools(_CFG, anew, 'zone-a')),
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
    def test_only_pools_that_change_are_made_anew(self, _name, change, stays):
        rows = make_rows(3)
        node = Node(rows)
        find = node.picker.pools.find
        pool = find((ENGINE, MODEL))
        held = node.state(rows[0].name)
        held.take(node.clock.now())
        edited = attrs.evolve(rows[0], **change)
        node.targets.put({edited.name: edited})
        self.assertIs(find((ENGINE, MODEL)) is pool, stays)
        self.assertIs(node.picker.pools.states[edited.name], held)

    def test_other_zones_cost_nothing_until_a_request_goes_there(self):
        node = Node([*make_rows(2), *make_rows(50, zone='zone-b')])
        node.picker.pick(node.ask(), node.picker.pools.find((ENGINE, MODEL)))
        self.assertEqual(len(node.picker.pools.states), 2)


class PastTest(unittest.TestCase):
    """The memory of own requests is short, and long enough for a report."""

    def test_late_report_is_read_as_of_its_own_time(self):
        targets = Targets()
        targets.update(make_rows(1))
        target = targets.by_name['zone-a-engine-0']
        state = TargetState(target, Breaker(5))
        for second in range(1000):
            state.take(second)
            state.free(second + 0.5)
        self.assertLess(len(state._past), 100)
        state.take(1000)
        target.report = LoadReport(running=1, taken_at=990.2)
        self.assertEqual(state.load(1001), 1)
        target.report = LoadReport(running=1, taken_at=990.7)
        self.assertEqual(state.load(1001), 2)
