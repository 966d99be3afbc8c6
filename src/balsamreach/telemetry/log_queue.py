"""Logging through a bounded queue, for readers that may be slow or gone.

A write to a full pipe blocks. On the event loop it would block all requests
while the log is read slowly. So log records are put into a bounded queue and
a thread writes them. Records that don't fit are dropped and counted, and the
number is logged.
"""

import logging
import queue
import sys
import threading
from typing import TextIO

from balsamreach.config.settings import Settings
from balsamreach.telemetry.logs import log_event, make_handler

#: Maximum number of queued lines: ten seconds of a router at the target size,
#: which logs 80 requests a second and as many lines of other events.
MAX_QUEUED_LINES = 1600
#: Time limit in seconds for writing queued lines at the end of the process.
_CLOSE_TIMEOUT_S = 1.0

_logger = logging.getLogger(__name__)


class QueueingHandler(logging.Handler):
    """Puts records into a bounded queue and drops those that don't fit.

    Parameters
    ----------
    records : queue.Queue
        Queue of the records.
    """

    def __init__(self, records: queue.Queue) -> None:
        super().__init__()
        self.records = records
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record, or drop and count it if the queue is full."""
        try:
            self.records.put_nowait(record)
        except queue.Full:
            self.dropped += 1
            return
        if self.dropped:
            self._log_dropped()

    def _log_dropped(self) -> None:
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
    """Writes queued records in a separate thread.

    Parameters
    ----------
    output_handler : logging.Handler
        Handler that formats and writes the records.
    max_lines : int
        Maximum number of queued records.
    """

    def __init__(
        self,
        output_handler: logging.Handler,
        max_lines: int = MAX_QUEUED_LINES,
    ) -> None:
        self.queue: queue.Queue[logging.LogRecord | None] = queue.Queue(
            max_lines
        )
        self.handler = QueueingHandler(self.queue)
        self._output_handler = output_handler
        # A daemon thread, so that a blocked write can't keep the process
        # from exiting.
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def close(self) -> None:
        """Write the queued records, for a limited time."""
        try:
            self.queue.put(None, timeout=_CLOSE_TIMEOUT_S)
        except queue.Full:
            # The log is not read; the queued lines are lost.
            return
        self._thread.join(_CLOSE_TIMEOUT_S)

    def _run(self) -> None:
        while True:
            record = self.queue.get()
            if record is None:
                return
            self._output_handler.handle(record)


def queue_logging(
    settings: Settings,
    stream: TextIO | None = None,
) -> LogWriter:
    """Log all records of this process through a queue to a stream.

    Parameters
    ----------
    settings : Settings
        Host, zone and log level.
    stream : text stream, optional
        Output; standard output by default.

    Returns
    -------
    LogWriter
        The started writer; the caller closes it at the end.
    """
    writer = LogWriter(make_handler(settings, stream or sys.stdout))
    root = logging.getLogger()
    for handler in tuple(root.handlers):
        root.removeHandler(handler)
    root.addHandler(writer.handler)
    root.setLevel(settings.telemetry.log_level.upper())
    writer.start()
    return writer
