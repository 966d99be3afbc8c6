"""Background tasks that are cancelled together."""

import asyncio
from collections.abc import Coroutine
from contextvars import Context
from typing import Any

import attrs


@attrs.define(eq=False)
class BackgroundTasks:
    """Holds references to running tasks, so that none is collected."""

    _tasks: set[asyncio.Task] = attrs.field(factory=set)

    def start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Run a coroutine in a task outside the trace of any request."""
        # A request may open a link that then serves for days. If the task
        # inherited the trace context of the request, everything it does later
        # would show up as hops of that one request.
        task = asyncio.create_task(work, context=Context())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def cancel(self) -> None:
        """Cancel all tasks and wait for them."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
