"""Tests of log lines on their way to a slow reader."""

import io
import json
import logging
import threading
import unittest

from balsamreach.config.reader import read_settings
from balsamreach.telemetry.log_queue import LogWriter, queue_logging
from balsamreach.telemetry.logs import log_event

_CFG = read_settings(None, ('host.zone=zone-a', 'telemetry.log_level=info'))


class _StuckHandler(logging.Handler):
    """A reader that takes nothing until it is let go."""

    def __init__(self):
        super().__init__()
        self.entered = threading.Event()
        self.let_go = threading.Event()
        self.written = []

    def emit(self, record):
        self.entered.set()
        self.let_go.wait()
        self.written.append(record)


def _record(number):
    return logging.makeLogRecord({'msg': f'line {number}'})


class LogQueueTest(unittest.TestCase):
    """No line blocks who writes it."""

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

    def test_lines_come_out_whole_and_in_order(self):
        stream = io.StringIO()
        writer = queue_logging(_CFG, stream)
        logger = logging.getLogger('balsamreach.test')
        for number in range(50):
            log_event(logger, logging.INFO, 'counted', number=number)
        writer.close()
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        self.assertEqual([line['number'] for line in lines], list(range(50)))
        self.assertEqual(lines[0]['zone'], 'zone-a')

    def test_a_reader_that_stands_still(self):
        """Symptom: a router serves nobody while its log isn't read.

        Sequence: the collector stops reading; lines go on being written.
        Cause: a write to a full pipe blocks the event loop.
        """
        stuck = _StuckHandler()
        writer = LogWriter(stuck, most=10)
        writer.start()
        writer.handler.emit(_record(0))
        stuck.entered.wait()
        for number in range(1, 31):
            writer.handler.emit(_record(number))
        self.assertEqual(writer.handler.dropped, 20)
        stuck.let_go.set()
        writer.close()
        self.assertEqual(len(stuck.written), 11)

    def test_what_was_dropped_is_told(self):
        writer = LogWriter(_StuckHandler(), most=2)
        logging.getLogger().addHandler(writer.handler)
        for number in range(3):
            writer.handler.emit(_record(number))
        for _ in range(2):
            writer.queue.get()
        writer.handler.emit(_record(4))
        waiting = [writer.queue.get().getMessage() for _ in range(2)]
        self.assertEqual(waiting, ['line 4', 'log_lines_dropped'])
        self.assertEqual(writer.handler.dropped, 0)
