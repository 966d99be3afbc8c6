"""Tests of requests whose team has too few tokens."""

import unittest

import attrs
from parameterized import parameterized

from balsamreach.budget import faults as budget_faults
from balsamreach.catalogue.view import CatalogueView
from balsamreach.relay import faults
from balsamreach.relay.prepaid_spending import PrepaidSpending
from tests.relay_samples import CATALOGUE, STREAM, TEAM, call


@attrs.define
class _Holdings:
    """Holdings without tokens that know the tokens spent."""

    used: int
    fault: object = budget_faults.EXHAUSTED
    urgencies: list = attrs.field(factory=list)

    async def reserve(self, _team, _tokens, urgency):
        self.urgencies.append(urgency)
        return self.fault

    def spent(self, _team):
        return self.used


@attrs.define
class _Currency:
    """Loads a newer configuration when it is asked to confirm."""

    view: CatalogueView
    confirms: bool
    prepaid: int

    async def confirm(self):
        self.view.update_if_newer(_configuration(6, self.prepaid), 'store')
        return self.confirms


def _configuration(version, prepaid):
    team = attrs.evolve(TEAM, prepaid=prepaid)
    return attrs.evolve(CATALOGUE, version=version, teams={team.name: team})


class ExhaustedTest(unittest.IsolatedAsyncioTestCase):
    """A budget is exhausted only if the newest configuration proves it."""

    @parameterized.expand(
        [
            ('spent', True, 1000, 900, faults.BUDGET_EXHAUSTED),
            (
                'held by other routers',
                True,
                1000,
                500,
                faults.BUDGET_UNREACHABLE,
            ),
            ('not confirmed', False, 1000, 900, faults.BUDGET_UNREACHABLE),
            ('topped up', True, 5000, 900, faults.BUDGET_UNREACHABLE),
        ]
    )
    async def test_budget_of_old_version(
        self, _, confirms, prepaid, used, fault
    ):
        """A caller gets no 402 because a top-up hasn't reached its router."""
        view = CatalogueView()
        view.update_if_newer(_configuration(5, 1000), 'store')
        spending = PrepaidSpending(
            _Holdings(used),
            view,
            _Currency(view, confirms, prepaid),
        )
        refusal = await spending.reserve(call(STREAM))
        self.assertEqual(refusal, fault)

    @parameterized.expand([('unknown', 0, 0.8), ('known', 3.2, 3.2)])
    async def test_retry_time_of_a_shortage(self, _name, tokens_wait, expected):
        """Guards against callers that retry while no tokens can come."""
        fault = attrs.evolve(
            budget_faults.NO_ALLOTMENT, tokens_wait=tokens_wait
        )
        refusal = await self.refuse(fault).reserve(call(STREAM))
        self.assertEqual(refusal, faults.BUDGET_UNREACHABLE)
        self.assertEqual(refusal.retry_after, expected)

    @parameterized.expand([(0, 9), (4, 5), (9, 0), (12, 0)])
    async def test_urgency_follows_priority(self, priority, urgency):
        spending = self.refuse(budget_faults.NO_ALLOTMENT)
        await spending.reserve(attrs.evolve(call(STREAM), priority=priority))
        self.assertEqual(spending.holdings.urgencies, [urgency])

    def refuse(self, fault):
        view = CatalogueView()
        view.update_if_newer(_configuration(5, 1000), 'store')
        return PrepaidSpending(
            _Holdings(0, fault), view, _Currency(view, True, 1000)
        )
