"""Tasks that are started in passing and ended together."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import attrs


@attrs.define(eq=False)
class Tasks:
    """Keeps tasks from being forgotten while they run."""

    _tasks: set[asyncio.Task] = attrs.field(factory=set)

    def start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Run work in a task."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def cancel(self) -> None:
        """End all tasks at once."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
