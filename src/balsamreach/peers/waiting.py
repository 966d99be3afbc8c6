"""Waits that a clock bounds."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from balsamreach.clock import Clock

Outcome = TypeVar('Outcome')


async def within(
    clock: Clock,
    seconds: float,
    work: Coroutine[Any, Any, Outcome],
) -> Outcome | None:
    """Return what work returns, or None if it takes too long.

    Parameters
    ----------
    clock : Clock
        Source of time; tests move it by hand.
    seconds : float
        Longest time to wait.
    work : coroutine
        Is cancelled when the time is over.

    Returns
    -------
    object or None
        The outcome of the work.
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
