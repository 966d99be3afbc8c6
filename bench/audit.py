"""Compares callers' outcomes with the spend recorded in the table."""

from collections import Counter
from typing import Any

import attrs

from balsamreach.budget.account import (
    ACCOUNT_PREFIX,
    ALLOTMENT_PREFIX,
    BILL_PREFIX,
    bill_key,
    decode_account,
    decode_allotment,
)
from balsamreach.services.base import Row, Scan, TableService
from balsamreach.services.faults import PlatformFault
from bench.callers import Outcome
from bench.fleet import fetch
from bench.processes import Process

_BUDGET_CODES = frozenset(('budget_exhausted', 'budget_unreachable'))


@attrs.define
class Books:
    """The recorded spend of all teams.

    Parameters
    ----------
    prepaid, settled, billed : Counter
        Tokens by team.
    bills : dict
        Tokens of each recorded bill, by row key.
    """

    prepaid: Counter[str] = attrs.field(factory=Counter)
    settled: Counter[str] = attrs.field(factory=Counter)
    billed: Counter[str] = attrs.field(factory=Counter)
    bills: dict[str, int] = attrs.field(factory=dict)

    def overspend(self) -> int:
        """Return the tokens spent beyond the prepaid ones, over all teams."""
        return sum((self.settled - self.prepaid).values())

    def tokens_left(self, team: str) -> int:
        """Return a team's tokens left at the end, the minimum of the run."""
        return self.prepaid[team] - self.settled[team]

    def double_billed(self) -> int:
        """Return the tokens settled beyond the recorded bills."""
        return sum((self.settled - self.billed).values())


async def read_books(service: TableService) -> Books:
    """Read accounts, allotments and bills from the platform's table."""
    books = Books()
    for row in await _scan(service, ACCOUNT_PREFIX):
        account = decode_account(row.value)
        team = row.key.removeprefix(ACCOUNT_PREFIX)
        books.prepaid[team] += account.prepaid
        books.settled[team] += account.folded
    for row in await _scan(service, ALLOTMENT_PREFIX):
        team = row.key.rpartition('/')[2]
        books.settled[team] += decode_allotment(row.value).settled
    for row in await _scan(service, BILL_PREFIX):
        books.bills[row.key] = row.value['tokens']
        books.billed[row.value['team']] += row.value['tokens']
    return books


async def _scan(service: TableService, prefix: str) -> list[Row]:
    rows: list[Row] = []
    while True:
        after = rows[-1].key if rows else ''
        page = await service.scan(Scan(prefix, after=after))
        assert not isinstance(page, PlatformFault), page
        rows += page.rows
        if not page.more:
            return rows


def outcome_figures(outcomes: list[Outcome], books: Books) -> dict[str, Any]:
    """Return the figures reported by every scenario with callers."""
    whole = [outcome for outcome in outcomes if outcome.is_complete]
    missing = [outcome for outcome in whole if not _is_billed(outcome, books)]
    refused = [outcome for outcome in outcomes if outcome.refused]
    return {
        'requests': len(outcomes),
        'answered': len(whole),
        'refusals': sum(not outcome.cut for outcome in refused),
        'false_refusals': sum(
            _is_false_refusal(outcome, books) for outcome in refused
        ),
        'refusal_codes': dict(Counter(outcome.code for outcome in refused)),
        'cut_streams': sum(outcome.cuts for outcome in outcomes),
        'wrong_answers': sum(_is_wrong_answer(outcome) for outcome in outcomes),
        'overspend_tokens': books.overspend(),
        'double_bills': books.double_billed(),
        'missing_bills': len(missing),
    }


async def run_figures(
    outcomes: list[Outcome],
    targets: list[Process],
) -> dict[str, int]:
    """Return figures on how often requests ran at the running targets.

    Returns
    -------
    dict of str to int
        The maximum number of runs of a non-idempotent request, and the number
        of requests that ran although the caller was told otherwise.
    """
    runs: Counter[str] = Counter()
    for target in targets:
        control = await fetch(f'http://{target.address}/control')
        runs.update(control['runs'])
    non_idempotent_keys = [
        outcome.request.key
        for outcome in outcomes
        if outcome.request.non_idempotent
    ]
    not_run = [
        outcome.request.key
        for outcome in outcomes
        if outcome.not_run and outcome.tries == 1
    ]
    return {
        'non_idempotent_max_runs': max(
            (runs[key] for key in non_idempotent_keys), default=0
        ),
        'ran_though_refused': sum(runs[key] > 0 for key in not_run),
    }


def _is_billed(outcome: Outcome, books: Books) -> bool:
    return bill_key(outcome.request.team, outcome.request.key) in books.bills


def _is_wrong_answer(outcome: Outcome) -> bool:
    ended = outcome.status == 200 and not outcome.cut
    return ended and not outcome.is_complete


def _is_false_refusal(outcome: Outcome, books: Books) -> bool:
    if outcome.code not in _BUDGET_CODES:
        return False
    return books.tokens_left(outcome.request.team) >= outcome.request.max_tokens
