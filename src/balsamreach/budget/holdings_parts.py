"""Builds the components that manage the tokens held by one router."""

from functools import partial
from typing import TYPE_CHECKING

import attrs

from balsamreach.budget.account_drawer import AccountDrawer
from balsamreach.budget.adaptive_sizing import AdaptiveSizing
from balsamreach.budget.book import LedgerBook
from balsamreach.budget.home_client import HomeClient
from balsamreach.budget.home_failover import HomeFailover
from balsamreach.budget.home_server import HomeServer
from balsamreach.budget.homes import (
    count_holders,
    count_reporters,
    is_holder,
)
from balsamreach.budget.incarnations import AddressRegistration
from balsamreach.budget.ledger import Ledger
from balsamreach.budget.loans import Loans
from balsamreach.budget.move_committer import MoveCommitter
from balsamreach.budget.obtaining import Obtainer
from balsamreach.budget.predecessor_closing import PredecessorCloser
from balsamreach.budget.prepaid import PrepaidAccounts
from balsamreach.budget.reporting import UsageReporter
from balsamreach.budget.shortages import Shortages
from balsamreach.budget.token_handover import TokenHandover
from balsamreach.budget.usage import make_allowance
from balsamreach.budget.usage_reports import Allowance, OpeningSchedule
from balsamreach.config.settings import BudgetSettings
from balsamreach.peers.base import PeerNet

if TYPE_CHECKING:
    from balsamreach.budget.holdings import Holdings

#: Seconds after a failure during which no request causes a draw. Outages last
#: for seconds, not minutes, and holdings are small.
_FAILURE_BACKOFF_S = 0.5
#: Seconds after which peers are asked although a draw is pending. A draw is
#: three calls of at most some 10 ms each, so one of 0.15 s has met an outage.
_DRAW_TIMEOUT_S = 0.15
#: The same where a peer waits for a loan; its requests wait no longer than
#: ``draw_wait``, and it asks several lenders in turn.
_LENDER_TIMEOUT_S = 0.05
#: Seconds within which a team's home must answer. It may have to draw, and to
#: ask lenders while the table service is away; waiting for one that is gone
#: must leave enough time for other sources.
_HOME_TIMEOUT_S = 0.3
#: Longest wait at a home for tokens for another router. If the home refused
#: later than that router waits, it would count as not answering.
_HOME_WAIT_S = 0.25

#: Part of the report interval whose expected spending a report covers beyond
#: the tokens in use. These tokens are lost if this router dies; spending that
#: is not covered waits for a report of its own, which takes some 10 ms.
_INTERVAL_SHARE = 0.6
#: Part of the idle tokens that a report covers in addition while abundance is
#: 1. A power loss of a router's host costs its team no more than this.
_IDLE_SHARE = 0.3
#: Start time of this router. The wall clock may jump, so no real start time
#: is given. None is needed: only one process at a time can bind an address.
_START_TIME = 0.0

#: Multiple of the desired tokens beyond which the excess is returned. Idle
#: tokens are of use to other routers, and a part of them is lost if this
#: router loses power.
_RETURN_FACTOR = 1.3


@attrs.frozen(kw_only=True)
class HoldingsParts:
    """The components of ``Holdings``."""

    book: LedgerBook
    reporter: UsageReporter
    sizing: AdaptiveSizing
    loans: Loans
    handover: TokenHandover
    obtainer: Obtainer
    predecessor_closer: PredecessorCloser
    home_client: HomeClient
    home_failover: HomeFailover
    home_server: HomeServer


def make_parts(holdings: 'Holdings') -> HoldingsParts:
    """Make the components; nothing is sent yet."""
    accounts = PrepaidAccounts(holdings.service, holdings.prepaid)
    registration = AddressRegistration(
        accounts,
        holdings.address,
        holdings.incarnation,
        _START_TIME,
    )
    book = LedgerBook(
        MoveCommitter(
            accounts,
            holdings.incarnation,
            holdings.clock,
            holdings.rng,
            caches_own_rows=True,
        ),
        registration,
        holdings.clock,
        holdings.metrics,
        spends_loans=True,
        rate_window=holdings.rate_window,
        parallel=True,
    )
    sizing = AdaptiveSizing(
        holdings.cfg,
        holdings.clock,
        _RETURN_FACTOR,
        prepaid=holdings.prepaid,
        count_holders=lambda: count_holders(holdings.net),
        is_holder=lambda team: is_holder(team, holdings.net),
    )
    reporter = _make_reporter(holdings, book, sizing)
    book.usage_limit = reporter.limit
    loans = Loans(
        book,
        sizing,
        holdings.net,
        holdings.rng,
        reporter=reporter,
        timeout=_LENDER_TIMEOUT_S,
        homes_only=True,
    )
    account_drawer = AccountDrawer(
        book,
        sizing,
        backoff=_FAILURE_BACKOFF_S,
        timeout=_DRAW_TIMEOUT_S,
        reporter=reporter,
    )
    home_client = HomeClient(
        holdings.net,
        holdings.clock,
        holdings.metrics,
        _HOME_TIMEOUT_S,
    )
    return HoldingsParts(
        book=book,
        reporter=reporter,
        sizing=sizing,
        loans=loans,
        handover=TokenHandover(loans),
        obtainer=Obtainer(
            book,
            sizing,
            loans,
            holdings.cfg,
            account_drawer,
            Shortages(
                holdings.clock,
                lambda: bool(holdings.net.hubs.zones()),
            ),
        ),
        predecessor_closer=PredecessorCloser(
            accounts,
            registration,
            holdings.service_clock,
            holdings.clock.now(),
            holdings.metrics,
        ),
        home_client=home_client,
        home_failover=HomeFailover(
            home_client,
            holdings.reserve_here,
            holdings.cfg.draw_wait,
            account_drawer,
            holdings.metrics,
        ),
        home_server=HomeServer(
            holdings.net,
            holdings.clock,
            partial(holdings.reserve_here, max_wait=_HOME_WAIT_S),
            holdings.charge,
            holdings.spent,
        ),
    )


def _make_reporter(
    holdings: 'Holdings',
    book: LedgerBook,
    sizing: AdaptiveSizing,
) -> UsageReporter:
    return UsageReporter(
        holdings.service,
        holdings.incarnation,
        holdings.service_clock,
        holdings.clock,
        holdings.metrics,
        OpeningSchedule(
            holdings.cfg.report_patience,
            holdings.cfg.report_opening,
        ),
        lambda: _make_allowances(holdings, book, sizing),
        lambda: _hand_out_all(book),
        # ``book.is_away`` is replaced after this, so it is looked up late.
        lambda: book.is_away(),
    )


def report_interval(cfg: BudgetSettings, net: PeerNet) -> float:
    """Return the seconds between two reports of one router.

    A fleet of 910 routers that reported twice a second would make more
    writes than the table service can take, and calls would be refused.

    Parameters
    ----------
    cfg : BudgetSettings
        The shortest interval, and the most reports of all routers per second.
    net : PeerNet
        Tells how many routers report.
    """
    return max(cfg.report_interval, count_reporters(net) / cfg.report_rate)


def _make_allowances(
    holdings: 'Holdings',
    book: LedgerBook,
    sizing: AdaptiveSizing,
) -> dict[str, Allowance]:
    now = holdings.clock.now()
    seconds = report_interval(holdings.cfg, holdings.net) * _INTERVAL_SHARE
    return {
        team: make_allowance(
            ledger,
            _expected_use(ledger, sizing, now, seconds),
        )
        for team, ledger in book.ledgers.items()
    }


def _expected_use(
    ledger: Ledger,
    sizing: AdaptiveSizing,
    now: float,
    seconds: float,
) -> int:
    # An outage of the table service is not noticed until a report fails. If
    # a report covered only the spending until the next one, requests would
    # be refused while the router holds plenty, with the reason "what
    # requests need is not reported". Covered tokens are lost if the router
    # dies, so only a part of the idle ones is covered, and only while the
    # budget is plentiful.
    spent = ledger.rate.per_second(now) * seconds
    idle = (
        max(0, ledger.unspent_granted) * sizing.abundance(ledger) * _IDLE_SHARE
    )
    return int(max(spent, idle))


def _hand_out_all(book: LedgerBook) -> None:
    for ledger in book.ledgers.values():
        ledger.serve_queue()
