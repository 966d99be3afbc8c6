"""Tests of what a caller hears whose team has too few tokens."""

import unittest

import attrs
from parameterized import parameterized

from balsamreach.budget import faults as budget_faults
from balsamreach.catalogue.view import CatalogueView
from balsamreach.relay import faults
from balsamreach.relay.metered import MeteredSpending
from tests.relay_samples import CATALOGUE, STREAM, TEAM, call


@attrs.define
class _Holdings:
    """Holds nothing, and has seen some tokens spent."""

    used: int
    fault: object = budget_faults.EXHAUSTED

    async def reserve(self, _team, _tokens):
        return self.fault

    def spent(self, _team):
        return self.used


@attrs.define
class _Currency:
    """Brings a configuration as it is asked."""

    view: CatalogueView
    confirms: bool
    prepaid: int

    async def confirm(self):
        self.view.offer(_configuration(6, self.prepaid), 'store')
        return self.confirms


def _configuration(version, prepaid):
    team = attrs.evolve(TEAM, prepaid=prepaid)
    return attrs.evolve(CATALOGUE, version=version, teams={team.name: team})


class ExhaustedTest(unittest.IsolatedAsyncioTestCase):
    """A budget is told to be out only where the newest word proves it."""

    @parameterized.expand(
        [
            ('spent', True, 1000, 900, faults.BUDGET_EXHAUSTED),
            ('held by others', True, 1000, 500, faults.BUDGET_UNREACHABLE),
            ('nobody confirms', False, 1000, 900, faults.BUDGET_UNREACHABLE),
            ('topped up', True, 5000, 900, faults.BUDGET_UNREACHABLE),
        ]
    )
    async def test_denied_by_a_budget_of_old(
        self, _, confirms, prepaid, used, fault
    ):
        """Callers got 402 where a top-up had not come to their router."""
        view = CatalogueView()
        view.offer(_configuration(5, 1000), 'store')
        spending = MeteredSpending(
            _Holdings(used),
            view,
            _Currency(view, confirms, prepaid),
        )
        refused = await spending.open(call(STREAM))
        self.assertEqual(refused, fault)
