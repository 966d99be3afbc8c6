"""Progress table of a run: counts of requests so far."""

import asyncio
import contextlib
import sys

import attrs

from bench.load import Load
from bench.run import Run

_INTERVAL_S = 2
_COLUMNS = ('sent', 'open', 'answered', 'refused', 'cut')
_WIDTH = 10


@attrs.define
class Progress:
    """Prints a line of the table every `_INTERVAL_S` seconds.

    Parameters
    ----------
    run : Run
        The scenario run.
    loads : list of Load
        Loads to count; a scenario adds to the list.
    """

    run: Run
    loads: list[Load] = attrs.field(factory=list)
    _task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Print the table header and start printing lines."""
        self._print('', _COLUMNS)
        self._task = asyncio.create_task(self._print_periodically())

    async def stop(self) -> None:
        """Stop and print the last line."""
        if self._task is None:
            return
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        self._task = None
        self._print_counts()

    async def _print_periodically(self) -> None:
        while True:
            await asyncio.sleep(_INTERVAL_S)
            self._print_counts()

    def _print_counts(self) -> None:
        elapsed_s = self.run.now() - self.run.began
        counts = [load.counts() for load in self.loads]
        columns = [sum(column) for column in zip(*counts, strict=True)]
        self._print(f'[{elapsed_s:6.1f} s]', columns)

    def _print(self, head: str, cells: object) -> None:
        row = ''.join(f'{cell!s:>{_WIDTH}}' for cell in cells)
        sys.stderr.write(f'{head:<10} {self.run.name:<10}{row}\n')
