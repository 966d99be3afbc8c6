"""Tests of the log queue with a slow reader."""

import io
import json
import logging
import threading
import unittest

from balsamreach.config.reader import read_settings
from balsamreach.telemetry.log_queue import LogWriter, queue_logging
from balsamreach.telemetry.logs import log_event

_CFG = read_settings(None, ('host.zone=zone-a', 'telemetry.log_level=info'))


class _BlockedHandler(logging.Handler):
    """A handler that blocks until it is released."""

    def __init__(self):
        super().__init__()
        self.entered = threading.Event()
        self.released = threading.Event()
        self.written = []

    def emit(self, record):
        self.entered.set()
        self.released.wait()
        self.written.append(record)


def _record(number):
    return logging.makeLogRecord({'msg': f'line {number}'})


class LogQueueTest(unittest.TestCase):
    """Logging never blocks the caller."""

    def setUp(self):
        root = logging.getLogger()
        before = (tuple(root.handlers), root.level)
        self.addCleanup(self.restore, *before)

    def restore(self, handlers, level):
        root = logging.getLogger()
        for handler in tuple(root.handlers):
            root.removeHandler(handler)
        for handler in handlers:
            root.addHandler(handler)
        root.setLevel(level)

    def test_lines_are_complete_and_in_order(self):
        stream = io.StringIO()
        writer = queue_logging(_CFG, stream)
        logger = logging.getLogger('balsamreach.test')
        for number in range(50):
            log_event(logger, logging.INFO, 'counted', number=number)
        writer.close()
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        self.assertEqual([line['number'] for line in lines], list(range(50)))
        self.assertEqual(lines[0]['zone'], 'zone-a')

    def test_blocked_reader(self):
        """The log collector stops reading while lines are still logged.

        A write to a full pipe blocks; on the event loop the router would
        serve no requests until the log is read again.
        """
        blocked = _BlockedHandler()
        writer = LogWriter(blocked, max_lines=10)
        writer.start()
        writer.handler.emit(_record(0))
        blocked.entered.wait()
        for number in range(1, 31):
            writer.handler.emit(_record(number))
        self.assertEqual(writer.handler.dropped, 20)
        blocked.released.set()
        writer.close()
        self.assertEqual(len(blocked.written), 11)

    def test_dropped_lines_are_logged(self):
        writer = LogWriter(_BlockedHandler(), max_lines=2)
        logging.getLogger().addHandler(writer.handler)
        for number in range(3):
            writer.handler.emit(_record(number))
        for _ in range(2):
            writer.queue.get()
        writer.handler.emit(_record(4))
        waiting = [writer.queue.get().getMessage() for _ in range(2)]
        self.assertEqual(waiting, ['line 4', 'log_lines_dropped'])
        self.assertEqual(writer.handler.dropped, 0)
