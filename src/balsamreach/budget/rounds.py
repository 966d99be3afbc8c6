"""Timing and concurrency of the rounds in which holdings are filled up."""

import asyncio
from collections.abc import Iterable

from balsamreach.budget.book import LedgerBook, MakeMoves
from balsamreach.clock import Clock

#: Seconds between two checks, in an outage, whether the table service is back.
_RETURN_POLL_S = 0.1
#: Teams whose tokens are moved at the same time; each takes two calls of the
#: table service.
_MAX_CONCURRENT_MOVES = 8


async def wait_for_round(
    book: LedgerBook, clock: Clock, interval: float
) -> None:
    """Wait until the next round is due.

    Outages may follow each other within seconds, so a round is due at once
    when the table service is back.

    Parameters
    ----------
    book : LedgerBook
        Knows whether the table service is away.
    clock : Clock
        Source of time.
    interval : float
        Seconds between rounds otherwise.
    """
    if not book.is_away():
        await clock.sleep(interval)
        return
    for _ in range(max(1, round(interval / _RETURN_POLL_S))):
        await clock.sleep(_RETURN_POLL_S)
        if not book.is_away():
            return


async def move_concurrently(
    book: LedgerBook, moves: Iterable[tuple[str, MakeMoves]]
) -> None:
    """Make the moves of several teams, some of them at the same time.

    Parameters
    ----------
    book : LedgerBook
        The ledgers.
    moves : iterable of (str, callable)
        Each team with what returns its moves.
    """
    semaphore = asyncio.Semaphore(_MAX_CONCURRENT_MOVES)
    await asyncio.gather(*(_move(book, semaphore, *each) for each in moves))


async def _move(
    book: LedgerBook,
    semaphore: asyncio.Semaphore,
    team: str,
    make_moves: MakeMoves,
) -> None:
    async with semaphore:
        await book.apply_moves(make_moves, team)
