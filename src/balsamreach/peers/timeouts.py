"""Timeouts on the application's clock."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from balsamreach.clock import Clock

Outcome = TypeVar('Outcome')


async def run_with_timeout(
    clock: Clock,
    seconds: float,
    work: Coroutine[Any, Any, Outcome],
) -> Outcome | None:
    """Return the result of a coroutine, or None if it takes too long.

    Parameters
    ----------
    clock : Clock
        Source of time; tests advance it manually.
    seconds : float
        Maximum time to wait.
    work : coroutine
        Cancelled at the timeout.

    Returns
    -------
    object or None
        The result, None after a timeout.
    """
    task = asyncio.ensure_future(work)
    timer = asyncio.ensure_future(clock.sleep(seconds))
    try:
        await asyncio.wait((task, timer), return_when=asyncio.FIRST_COMPLETED)
    finally:
        timer.cancel()
        if not task.done():
            task.cancel()
    return None if task.cancelled() or not task.done() else task.result()
