"""Log lines on their way to a reader that may be slow or gone.

A write to a pipe that nobody reads blocks. On the event loop it would hold
up every request; it shows as a router that stands still while its log is
read slowly. Lines wait in a bounded queue, a thread writes them, and what
doesn't fit is dropped, counted and told.
"""

import logging
import queue
import sys
import threading
from typing import TextIO

from balsamreach.config.settings import Settings
from balsamreach.telemetry.logs import log_event, make_handler

#: Lines that may wait. Source: ten seconds of a router at the target size,
#: 80 requests a second with a line each, and as many lines of other events.
MOST_WAITING = 1600
#: Seconds in which waiting lines are written at the end of the process.
_LAST_S = 1.0

_logger = logging.getLogger(__name__)


class QueueingHandler(logging.Handler):
    """Puts records into a bounded queue, and drops what doesn't fit.

    Parameters
    ----------
    waiting : queue.Queue
        Where records wait.
    """

    def __init__(self, waiting: queue.Queue) -> None:
        super().__init__()
        self.waiting = waiting
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Put a record into the queue."""
        try:
            self.waiting.put_nowait(record)
        except queue.Full:
            self.dropped += 1
            return
        if self.dropped:
            self._tell_dropped()

    def _tell_dropped(self) -> None:
        lines = self.dropped
        self.dropped = 0
        log_event(
            _logger,
            logging.WARNING,
            'log_lines_dropped',
            reason='the reader of the log is too slow',
            lines=lines,
        )


class LogWriter:
    """Writes waiting records, in a thread of its own.

    Parameters
    ----------
    written : logging.Handler
        Formats a record and writes it.
    most : int
        Records that may wait.
    """

    def __init__(
        self,
        written: logging.Handler,
        most: int = MOST_WAITING,
    ) -> None:
        self.queue: queue.Queue[logging.LogRecord | None] = queue.Queue(most)
        self.handler = QueueingHandler(self.queue)
        self._written = written
        # A daemon: the process ends though a reader never comes back.
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Begin to write."""
        self._thread.start()

    def close(self) -> None:
        """Write what waits, for a bounded time."""
        try:
            self.queue.put(None, timeout=_LAST_S)
        except queue.Full:
            # Nobody reads; the lines are lost with the process.
            return
        self._thread.join(_LAST_S)

    def _run(self) -> None:
        while True:
            record = self.queue.get()
            if record is None:
                return
            self._written.handle(record)


def queue_logging(
    settings: Settings,
    stream: TextIO | None = None,
) -> LogWriter:
    """Send all records of this process through a queue to a stream.

    Parameters
    ----------
    settings : Settings
        Host, zone and log level.
    stream : text stream, optional
        Where lines go; standard output by default.

    Returns
    -------
    LogWriter
        What writes them, to be closed at the end.
    """
    writer = LogWriter(make_handler(settings, stream or sys.stdout))
    root = logging.getLogger()
    for handler in tuple(root.handlers):
        root.removeHandler(handler)
    root.addHandler(writer.handler)
    root.setLevel(settings.telemetry.log_level.upper())
    writer.start()
    return writer
