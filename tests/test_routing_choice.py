"""Tests of target choice: load, weights, zones and prefix affinity."""

import unittest
from collections import Counter

from parameterized import parameterized

from balsamreach.routing.policies import POLICIES
from balsamreach.routing.weighted_split import WeightedSplit
from balsamreach.targets.registry import LoadReport
from tests.routing_node import Node, make_rows

_PROMPT = b'a' * 640


class WeightedSplitTest(unittest.TestCase):
    """Splits of ``auto`` requests between models."""

    def test_counts_stay_within_one_pick_of_the_weights(self):
        shares = WeightedSplit()
        weights = {'a': 0.7, 'b': 0.3}
        counts = Counter()
        for number in range(1, 1001):
            counts[shares.pick('team', weights)] += 1
            self.assertLessEqual(abs(counts['a'] - 0.7 * number), 1)

    def test_owners_are_bounded_and_weight_zero_is_not_picked(self):
        shares = WeightedSplit(max_owners=10)
        for number in range(100):
            picked = shares.pick(f'team-{number}', {'a': 0, 'b': 1})
            self.assertEqual(picked, 'b')
        self.assertEqual(len(shares._credits), 10)


class EveryPolicyTest(unittest.IsolatedAsyncioTestCase):
    """Properties of every policy."""

    @parameterized.expand(sorted(POLICIES))
    async def test_full_leaving_and_tried_targets_are_not_chosen(self, policy):
        rows = make_rows(4, concurrency=3)
        node = Node(rows, options=(f'routing.policy={policy}',))
        node.targets.by_name[rows[0].name].mark_leaving('start-1')
        report = LoadReport(incarnation='start-1', valid_at=node.clock.now())
        node.targets.by_name[rows[0].name].report = report
        counts = Counter()
        for number in range(9):
            slot = await node.send(prefix=_PROMPT, fingerprint=f'f{number}')
            counts[slot.target.name] += 1
        self.assertEqual(counts, {row.name: 3 for row in rows[1:]})
        ask = node.ask(prefix=_PROMPT)
        node.end(slot)
        pool = node.picker.pools.find(ask.pool)
        tried = frozenset((slot.target.name,))
        self.assertIsNone(
            node.picker.pick(ask, pool, tried),
        )

    async def test_removed_target_is_not_chosen(self):
        node = Node(make_rows(2))
        await node.send()
        node.targets.update(make_rows(1))
        names = {(await node.send()).target.name for _ in range(9)}
        self.assertEqual(names, {'zone-a-engine-0'})


class LoadReportTest(unittest.IsolatedAsyncioTestCase):
    """Corrections of late load reports."""

    async def test_late_report_is_corrected_for_own_requests(
        self,
    ):
        """A late load report is applied as of the time it was taken.

        Four requests are running when a report is taken; they end before it
        arrives two seconds later. If they were still counted as load, an idle
        target would be avoided, or a busy one would get more requests.
        """
        node = Node(make_rows(1))
        slots = [await node.send() for _ in range(4)]
        state = slots[0].state
        node.clock.advance(1)
        taken_at = node.clock.now()
        node.clock.advance(1)
        for slot in slots:
            node.end(slot)
        node.clock.advance(1)
        state.target.report = LoadReport(running=6, slots=8, valid_at=taken_at)
        self.assertEqual(state.load(node.clock.now()), 2)

    async def test_old_reports_have_less_weight(self):
        """Old load reports have less influence on the choice.

        A report that is two seconds old shows one target idle. If all routers
        trusted it fully, all would send to the same target.
        """
        node = Node(make_rows(2))
        now = node.clock.now()
        for name, running in (('zone-a-engine-0', 0), ('zone-a-engine-1', 8)):
            node.targets.by_name[name].report = LoadReport(
                running=running, slots=20, valid_at=now
            )
        pools = node.picker.pools
        group = pools.find(node.ask().pool).full_group
        for index in range(2):
            group.members[index].load(now)
        self.assertAlmostEqual(group.load(1, now) - group.load(0, now), 8)
        gap = group.load(1, now + 2) - group.load(0, now + 2)
        self.assertLess(gap, 8 / 3)

    async def test_warming_target_gets_less_than_its_share(self):
        """A target that has just restarted gets less than its full share.

        It is idle and its cache is empty. By load alone it would get all
        requests and answer slowly in its first seconds.
        """
        node = Node(make_rows(8), options=('routing.policy=two_choices',))
        target = node.targets.by_name['zone-a-engine-0']
        target.warm_up_started = node.clock.now() - target.warm_time / 4
        for number in range(32):
            await node.send(fingerprint=f'f{number}')
        held = node.state('zone-a-engine-0').slots_held
        self.assertLessEqual(held, 32 / 8 / 2)
        self.assertGreater(held, 0)


class ZoneTest(unittest.IsolatedAsyncioTestCase):
    """The own zone comes first, others only if it is full or overloaded."""

    async def test_own_zone_is_preferred_until_it_is_overloaded(self):
        rows = [*make_rows(2), *make_rows(2, zone='zone-b')]
        node = Node(rows)
        zones = []
        for number in range(24):
            slot = await node.send(fingerprint=f'f{number}')
            zones.append(slot.target.row.zone)
        self.assertEqual(set(zones[:4]), {'zone-a'})
        self.assertIn('zone-b', zones)

    async def test_other_zone_is_used_if_own_zone_is_off(self):
        node = Node([*make_rows(1, state='off'), *make_rows(1, zone='zone-b')])
        slot = await node.send()
        self.assertEqual(slot.target.row.zone, 'zone-b')


class AffinityTest(unittest.IsolatedAsyncioTestCase):
    """Prompts with the same prefix go to the same target."""

    async def test_routers_choose_the_same_target(self):
        nodes = [Node(make_rows(8)) for _ in range(3)]
        for number in range(20):
            prefix = f'{number:064}'.encode() * 5
            slots = [await node.send(prefix=prefix) for node in nodes]
            self.assertEqual(len({slot.target.name for slot in slots}), 1)
            for node, slot in zip(nodes, slots, strict=True):
                node.end(slot)

    async def test_popular_prefix_is_spread_over_targets(self):
        """A prefix shared by all requests does not overload one target.

        All requests begin with the same prompt. Affinity that ignored the load
        would fill one target's queue while the others are idle.
        """
        node = Node(make_rows(8))
        for number in range(32):
            await node.send(prefix=_PROMPT, fingerprint=f'f{number}')
        pools = node.picker.pools
        held = [state.slots_held for state in pools.states.values()]
        self.assertLessEqual(max(held), 6)
        self.assertGreaterEqual(min(held), 2)
