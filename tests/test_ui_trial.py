"""Tests of the command ``trial``: start, three commands, Ctrl-C."""

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

_TIMEOUT_S = 60
_SHIFT_STEP = 50


def _free_shift():
    """Return a shift at which all ports of a trial are free."""
    return next(
        shift
        for shift in range(_SHIFT_STEP, MOST_SHIFT, _SHIFT_STEP)
        if Fleet(Plan(shift=shift)).check() is None
    )


def _run_curl(command):
    """Send the request of a printed curl command; return the answer."""
    options, url = _read_curl(shlex.split(command)[1:])
    headers = dict(text.split(': ', 1) for text in options['-H'])
    body = ''.join(options['-d']).encode() or None
    method = ''.join(options['-X']) or None
    sent = request.Request(url, body, headers, method=method)
    with request.urlopen(sent, timeout=_TIMEOUT_S) as answer:
        return answer.read().decode()


def _read_curl(words):
    options = {'-H': [], '-d': [], '-X': []}
    *option_words, url = [word for word in words if word != '-N']
    for name, text in zip(option_words[::2], option_words[1::2], strict=True):
        options[name].append(text)
    return options, url


class TrialTest(unittest.TestCase):
    """A trial runs in its own process."""

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
        """Return the JSON that the trial prints after its start."""
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
        _, stderr = second.communicate(timeout=_TIMEOUT_S)
        self.assertEqual(second.returncode, exit_codes.USAGE)
        self.assertIn('end the other trial or give --shift', stderr)
        self.assertNotIn('Traceback', stderr)
        self.trial.send_signal(signal.SIGINT)
        _, stderr = self.trial.communicate(timeout=_TIMEOUT_S)
        self.assertEqual(self.trial.returncode, exit_codes.OK, stderr)
        self.assertNotIn('Traceback', stderr)
        self.assertIsNone(Fleet(Plan(shift=self.shift)).check())
