"""The trial as a newcomer meets it: start, three commands, Ctrl-C."""

import json
import shlex
import signal
import subprocess
import sys
import unittest
from urllib import request

from balsamreach.trial.fleet import Fleet
from balsamreach.trial.plan import MOST_SHIFT, TEAM, Plan
from balsamreach.ui import exit_codes

_SECONDS = 60
_STEP = 50


def _free_shift():
    """Return a shift with which all ports of a trial are free."""
    return next(
        shift
        for shift in range(_STEP, MOST_SHIFT, _STEP)
        if Fleet(Plan(shift=shift)).check() is None
    )


def _run_curl(command):
    """Send what a printed curl command would, and return the answer."""
    options, url = _read_curl(shlex.split(command)[1:])
    headers = dict(text.split(': ', 1) for text in options['-H'])
    body = ''.join(options['-d']).encode() or None
    method = ''.join(options['-X']) or None
    sent = request.Request(url, body, headers, method=method)
    with request.urlopen(sent, timeout=_SECONDS) as answer:
        return answer.read().decode()


def _read_curl(words):
    options = {'-H': [], '-d': [], '-X': []}
    *given, url = [word for word in words if word != '-N']
    for name, text in zip(given[::2], given[1::2], strict=True):
        options[name].append(text)
    return options, url


class TrialTest(unittest.TestCase):
    """A trial in a process of its own."""

    def setUp(self):
        self.shift = _free_shift()
        self.trial = self.start()
        self.addCleanup(self.trial.communicate)
        self.addCleanup(self.trial.kill)

    def start(self):
        return subprocess.Popen(
            [
                sys.executable,
                '-m',
                'balsamreach',
                'trial',
                '--json',
                f'--shift={self.shift}',
            ],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    def read_shown(self):
        """Return the JSON that the trial prints once it runs."""
        lines = []
        for line in self.trial.stdout:
            lines.append(line)
            if line == '}\n':
                break
        return json.loads(''.join(lines))

    def test_commands_second_trial_and_end(self):
        shown = self.read_shown()
        chat, budget, edit = shown['commands'].values()
        self.assertTrue(_run_curl(chat).endswith('data: [DONE]\n\n'))
        billed = json.loads(_run_curl(budget))
        self.assertEqual(billed['team'], TEAM)
        self.assertGreater(billed['this_router']['billed'], 0)
        row = json.loads(_run_curl(edit))['row']
        self.assertEqual(row['state'], 'paused')
        second = self.start()
        _, told = second.communicate(timeout=_SECONDS)
        self.assertEqual(second.returncode, exit_codes.USAGE)
        self.assertIn('end the other trial or give --shift', told)
        self.assertNotIn('Traceback', told)
        self.trial.send_signal(signal.SIGINT)
        _, told = self.trial.communicate(timeout=_SECONDS)
        self.assertEqual(self.trial.returncode, exit_codes.OK, told)
        self.assertNotIn('Traceback', told)
        self.assertIsNone(Fleet(Plan(shift=self.shift)).check())
