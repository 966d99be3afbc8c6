"""Puts together what keeps the tokens that one router holds."""

from typing import TYPE_CHECKING

import attrs

from balsamreach.budget.book import Book
from balsamreach.budget.covering import AdaptiveSizing
from balsamreach.budget.drawing import Drawing
from balsamreach.budget.draws import Drawer
from balsamreach.budget.gifts import Gifts
from balsamreach.budget.homes import (
    count_holders,
    count_reporting,
    is_holder,
)
from balsamreach.budget.homing import Homing
from balsamreach.budget.hosting import Hosting
from balsamreach.budget.incarnations import Incarnations
from balsamreach.budget.ledger import Ledger
from balsamreach.budget.loans import Loans
from balsamreach.budget.obtaining import Obtainer
from balsamreach.budget.prepaid import PrepaidAccounts
from balsamreach.budget.promises import Allowance, OpeningSchedule
from balsamreach.budget.reporting import Reporter
from balsamreach.budget.succession import Succession
from balsamreach.budget.usage import make_allowance
from balsamreach.config.settings import BudgetSettings
from balsamreach.peers.base import PeerNet

if TYPE_CHECKING:
    from balsamreach.budget.holdings import Holdings

#: After a failure the store is not asked for a request's sake for so many
#: seconds. It is away for seconds, not minutes, and holdings are small.
_AWAY_S = 0.5
#: Seconds after which peers are asked beside a draw. Source: a draw is three
#: calls of at most some 10 ms each; one of 0.15 s has met an outage.
_PATIENCE_S = 0.15
#: The same where a peer waits for a loan; its requests wait no longer than
#: ``draw_wait``, and it asks several lenders in turn.
_LENDER_PATIENCE_S = 0.05
#: The same for a team's home. It may have to draw, and to ask lenders where
#: the store is away; one that is gone must not use up the time for the rest.
_HOME_PATIENCE_S = 0.3

#: Part of the time to the next report whose spending a report promises beyond
#: what is in use. It is lost where this router dies, and what it doesn't cover
#: waits for a report of its own, which takes some 10 ms.
_HEAD_SHARE = 0.6
#: Part of what is held that a report promises beside while there is plenty of
#: a budget left. A router whose host loses power costs its team no more.
_PROMISED_SHARE = 0.3
#: Where the wall clock jumps, the start of a router is told by no time of
#: day. None is needed: only one process at a time has bound an address.
_STARTED = 0.0

#: Times the wanted tokens beyond which the rest goes back. What lies idle here
#: is of use to others, and a part may be lost with this router's power.
_RETURN_ABOVE = 1.3


@attrs.frozen(kw_only=True)
class HoldingsParts:
    """What holdings consist of."""

    book: Book
    reporter: Reporter
    sizing: AdaptiveSizing
    loans: Loans
    gifts: Gifts
    obtainer: Obtainer
    succession: Succession
    homing: Homing
    hosting: Hosting


def make_parts(holdings: 'Holdings') -> HoldingsParts:
    """Make the parts; nothing is sent yet."""
    accounts = PrepaidAccounts(holdings.service, holdings.prepaid)
    incarnations = Incarnations(
        accounts,
        holdings.address,
        holdings.incarnation,
        _STARTED,
    )
    book = Book(
        Drawer(
            accounts,
            holdings.incarnation,
            holdings.clock,
            holdings.rng,
            caches_own_rows=True,
        ),
        incarnations,
        holdings.clock,
        holdings.metrics,
        spends_loans=True,
        rate_window=holdings.rate_window,
    )
    sizing = AdaptiveSizing(
        holdings.cfg,
        holdings.clock,
        _RETURN_ABOVE,
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
        patience=_LENDER_PATIENCE_S,
        from_homes=True,
    )
    drawing = Drawing(
        book,
        sizing,
        backoff=_AWAY_S,
        timeout=_PATIENCE_S,
        reporter=reporter,
    )
    return HoldingsParts(
        book=book,
        reporter=reporter,
        sizing=sizing,
        loans=loans,
        gifts=Gifts(loans),
        obtainer=Obtainer(book, sizing, loans, holdings.cfg, drawing),
        succession=Succession(
            accounts,
            incarnations,
            holdings.times,
            holdings.clock.now(),
            holdings.metrics,
        ),
        homing=Homing(
            holdings.net,
            holdings.clock,
            holdings.metrics,
            _HOME_PATIENCE_S,
        ),
        hosting=Hosting(
            holdings.net,
            holdings.clock,
            holdings.reserve_here,
            holdings.charge,
            holdings.spent,
        ),
    )


def _make_reporter(
    holdings: 'Holdings',
    book: Book,
    sizing: AdaptiveSizing,
) -> Reporter:
    return Reporter(
        holdings.service,
        holdings.incarnation,
        holdings.times,
        holdings.clock,
        holdings.metrics,
        OpeningSchedule(
            holdings.cfg.report_patience, holdings.cfg.report_opening
        ),
        lambda: _promises(holdings, book, sizing),
        lambda: _hand_out(book),
        # Asked of the book each time: who follows the store sets it later.
        lambda: book.is_away(),
    )


def report_interval(cfg: BudgetSettings, net: PeerNet) -> float:
    """Return the seconds between two reports of one router.

    A fleet of 910 that reports twice a second would take more writes than
    the store has; it would show as calls that it turns away.

    Parameters
    ----------
    cfg : BudgetSettings
        The least interval, and the reports of all routers a second.
    net : PeerNet
        Tells how many routers report.
    """
    return max(cfg.report_interval, count_reporting(net) / cfg.report_rate)


def _promises(
    holdings: 'Holdings',
    book: Book,
    sizing: AdaptiveSizing,
) -> dict[str, Allowance]:
    now = holdings.clock.now()
    seconds = report_interval(holdings.cfg, holdings.net) * _HEAD_SHARE
    return {
        team: make_allowance(ledger, _ahead(ledger, sizing, now, seconds))
        for team, ledger in book.ledgers.items()
    }


def _ahead(
    ledger: Ledger,
    sizing: AdaptiveSizing,
    now: float,
    seconds: float,
) -> int:
    # Until a report fails nobody knows that the store is away. Were only the
    # next moment's spending promised then, requests would be refused while
    # the router holds plenty; it shows as "what requests need is not
    # reported". What is promised is lost where the router dies, so it is a
    # part alone, and only while there is plenty.
    spent = ledger.rate.per_second(now) * seconds
    idle = max(0, ledger.own) * sizing.abundance(ledger) * _PROMISED_SHARE
    return int(max(spent, idle))


def _hand_out(book: Book) -> None:
    for ledger in book.ledgers.values():
        ledger.hand_out()
