"""Tasks that are started in passing and ended together."""

import asyncio
from collections.abc import Coroutine
from contextvars import Context
from typing import Any

import attrs


@attrs.define(eq=False)
class Tasks:
    """Keeps tasks from being forgotten while they run."""

    _tasks: set[asyncio.Task] = attrs.field(factory=set)

    def start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Run work in a task that belongs to no request."""
        # A request may open a link that then serves for days. If its tasks
        # took over the request's trace, all that they do from then on would
        # show up as hops of that one request.
        task = asyncio.create_task(work, context=Context())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def cancel(self) -> None:
        """End all tasks at once."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
