"""Tests of the choice of a target: load, weights, zones and prefixes."""

import unittest
from collections import Counter

from parameterized import parameterized

from balsamreach.routing.policies import POLICIES
from balsamreach.routing.shares import Shares
from balsamreach.targets.registry import LoadReport
from tests.routing_node import Node, make_rows

_PROMPT = b'a' * 640


class SharesTest(unittest.TestCase):
    """Models' shares of ``auto`` requests."""

    def test_counts_stay_within_one_pick_of_the_weights(self):
        shares = Shares()
        weights = {'a': 0.7, 'b': 0.3}
        counts = Counter()
        for number in range(1, 1001):
            counts[shares.pick('team', weights)] += 1
            self.assertLessEqual(abs(counts['a'] - 0.7 * number), 1)

    def test_owners_are_bounded_and_weight_zero_is_never_picked(self):
        shares = Shares(most_owners=10)
        for number in range(100):
            picked = shares.pick(f'team-{number}', {'a': 0, 'b': 1})
            self.assertEqual(picked, 'b')
        self.assertEqual(len(shares._credits), 10)


class PolicyTest(unittest.IsolatedAsyncioTestCase):
    """What holds for every policy."""

    @parameterized.expand(sorted(POLICIES))
    async def test_full_leaving_and_tried_targets_get_nothing(self, policy):
        rows = make_rows(4, concurrency=3)
        node = Node(rows, options=(f'routing.policy={policy}',))
        node.targets.by_name[rows[0].name].mark_leaving('start-1')
        report = LoadReport(incarnation='start-1', taken_at=node.clock.now())
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

    async def test_rows_that_change_are_followed(self):
        node = Node(make_rows(2))
        await node.send()
        node.targets.update(make_rows(1))
        names = {(await node.send()).target.name for _ in range(9)}
        self.assertEqual(names, {'zone-a-engine-0'})


class LoadTest(unittest.IsolatedAsyncioTestCase):
    """Late reports, corrected by what this router has done since."""

    async def test_own_requests_are_not_counted_twice_nor_after_their_end(
        self,
    ):
        """A late report is read as of its own time.

        Symptom: an idle target is avoided, or a busy one gets more.
        Sequence: four requests are sent, a report is taken, they end, the
        report arrives two seconds late.
        Cause: the report counts requests that have ended since.
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
        state.target.report = LoadReport(running=6, slots=8, taken_at=taken_at)
        self.assertEqual(state.load(node.clock.now()), 2)

    async def test_old_reports_are_trusted_less(self):
        """The word of some seconds ago does not send everybody one way.

        Symptom: with late reports all routers crowd the same target.
        Sequence: a report two seconds old shows one target idle.
        Cause: what stood there then has long ended.
        """
        node = Node(make_rows(2))
        now = node.clock.now()
        for name, running in (('zone-a-engine-0', 0), ('zone-a-engine-1', 8)):
            node.targets.by_name[name].report = LoadReport(
                running=running, slots=20, taken_at=now
            )
        pools = node.picker.pools
        group = pools.find(node.ask().pool).everyone
        for index in range(2):
            group.members[index].load(now)
        self.assertAlmostEqual(group.load(1, now) - group.load(0, now), 8)
        gap = group.load(1, now + 2) - group.load(0, now + 2)
        self.assertLess(gap, 8 / 3)

    async def test_warming_target_carries_its_share_only(self):
        """A host that just came back gets no rush of requests.

        Symptom: slow answers at a host in the first seconds after a start.
        Sequence: it restarts, is idle, and its cache is empty.
        Cause: an idle target draws all choices that weigh load alone.
        """
        node = Node(make_rows(8), options=('routing.policy=two_choices',))
        target = node.targets.by_name['zone-a-engine-0']
        target.warm_from = node.clock.now() - target.warm_time / 4
        for number in range(32):
            await node.send(fingerprint=f'f{number}')
        held = node.state('zone-a-engine-0').held
        self.assertLessEqual(held, 32 / 8 / 2)
        self.assertGreater(held, 0)


class ZoneTest(unittest.IsolatedAsyncioTestCase):
    """The own zone first, others where it is full or loaded."""

    async def test_own_zone_is_preferred_until_it_is_loaded(self):
        rows = [*make_rows(2), *make_rows(2, zone='zone-b')]
        node = Node(rows)
        zones = []
        for number in range(24):
            slot = await node.send(fingerprint=f'f{number}')
            zones.append(slot.target.row.zone)
        self.assertEqual(set(zones[:4]), {'zone-a'})
        self.assertIn('zone-b', zones)

    async def test_other_zone_serves_where_the_own_one_is_gone(self):
        node = Node([*make_rows(1, state='off'), *make_rows(1, zone='zone-b')])
        slot = await node.send()
        self.assertEqual(slot.target.row.zone, 'zone-b')


class AffinityTest(unittest.IsolatedAsyncioTestCase):
    """Prompts with the same beginning go to the same target."""

    async def test_routers_agree_without_a_message(self):
        nodes = [Node(make_rows(8)) for _ in range(3)]
        for number in range(20):
            prefix = f'{number:064}'.encode() * 5
            slots = [await node.send(prefix=prefix) for node in nodes]
            self.assertEqual(len({slot.target.name for slot in slots}), 1)
            for node, slot in zip(nodes, slots, strict=True):
                node.end(slot)

    async def test_popular_prefix_spreads_before_it_overloads(self):
        """One prompt that everybody sends does not drown its target.

        Symptom: one target has a long queue, the others are idle.
        Sequence: all requests begin with the same prompt.
        Cause: affinity without regard to load.
        """
        node = Node(make_rows(8))
        for number in range(32):
            await node.send(prefix=_PROMPT, fingerprint=f'f{number}')
        pools = node.picker.pools
        held = [state.held for state in pools.states.values()]
        self.assertLessEqual(max(held), 6)
        self.assertGreaterEqual(min(held), 2)
