"""Command ``audit`` against records that were broken on purpose."""

import json
import unittest

from click.testing import CliRunner
from parameterized import parameterized

from balsamreach.budget import audit_report
from balsamreach.budget.account import (
    Account,
    Allotment,
    Bill,
    account_key,
    allotment_key,
    bill_key,
    encode_record,
)
from balsamreach.ui import exit_codes
from balsamreach.ui.main import main
from tests.platform_server import PlatformServer

_ACCOUNT = Account(prepaid=1000, taken=500, folded=100)
_OWN = Allotment(granted=400, settled=60)


def _bill(tokens, *flags, key='k'):
    fields = encode_record(Bill('team', key, tokens, flags, 1))
    return bill_key('team', key), fields | {'by': 'a'}


def _whole():
    """Return records of one team that hold together, by key."""
    return dict(
        (
            ('router/127.0.0.1:1', {'incarnation': 'a', 'started': 1}),
            (account_key('team'), encode_record(_ACCOUNT)),
            (allotment_key('a', 'team'), encode_record(_OWN)),
            _bill(100),
            _bill(60, 'claimed', key='m'),
            ('claim/team/m', {'holder': 'a'}),
        ),
    )


_BROKEN = (
    (
        audit_report.TAKEN_ABOVE_PREPAID,
        (account_key('team'), encode_record(Account(400, 500, 100))),
    ),
    (
        audit_report.TAKEN_DIFFERS_FROM_HELD,
        (account_key('team'), encode_record(Account(1000, 510, 100))),
    ),
    (
        audit_report.ALLOTMENT_OVERSPENT,
        (allotment_key('a', 'team'), encode_record(Allotment(400, 401))),
    ),
    (audit_report.BILLS_DIFFER_FROM_SPEND, _bill(101)),
    (audit_report.BILL_WITHOUT_CLAIM, ('claim/team/m', None)),
    (audit_report.ROWS_WITHOUT_ACCOUNT, (account_key('team'), None)),
)


class AuditTest(unittest.TestCase):
    """Symptom: an audit that finds nothing wrong whatever is wrong.

    Sequence: records are damaged one way, and audited. Cause: a check that
    was never seen to fail.
    """

    def setUp(self):
        self.server = PlatformServer()
        self.server.start()
        self.addCleanup(self.server.stop)
        for key, fields in _whole().items():
            self.server.put(key, fields)

    def audit(self, *options):
        """Run the command."""
        arguments = ['audit', *self.server.options(), *options]
        return CliRunner().invoke(main, arguments)

    def report(self, code=exit_codes.OK):
        """Return the JSON of a run that ends with an exit code."""
        ended = self.audit('--json')
        self.assertEqual(ended.exit_code, code, ended.output)
        return json.loads(ended.stdout)

    def test_whole_records(self):
        report = self.report()
        self.assertTrue(report['ok'])
        self.assertEqual(report['breaches'], [])
        self.assertEqual(report['stranded'], [])
        self.assertEqual(report['open_claims'], [])
        self.assertEqual(report['teams']['team']['recorded'], 160)
        self.assertEqual(report['teams']['team']['held'], 400)

    @parameterized.expand(_BROKEN)
    def test_breach(self, invariant, damage):
        self.server.put(*damage)
        report = self.report(exit_codes.BROKEN)
        found = {breach['invariant'] for breach in report['breaches']}
        self.assertIn(invariant, found)
        self.assertFalse(report['ok'])

    def test_claim_without_end(self):
        self.server.put('claim/team/open', {'holder': 'b'})
        report = self.report()
        self.assertEqual(report['claims'], 2)
        self.assertEqual(report['claims_open'], 1)
        open_claim = report['open_claims'][0]
        self.assertEqual(
            (open_claim['key'], open_claim['holder']), ('open', 'b')
        )

    @parameterized.expand(
        [
            ('bill', 30, exit_codes.OK, 190),
            ('close', 0, exit_codes.OK, 160),
            ('beyond_the_budget', 10**6, exit_codes.CONFLICT, 160),
        ],
    )
    def test_settle(self, _name, tokens, code, recorded):
        """Symptom: a certificate that ran is never billed, and stays listed.

        Sequence: a router dies before the service answers. Cause: nobody
        else can know how the run ended.
        """
        self.server.put('claim/team/open', {'holder': 'b'})
        self.assertEqual(self.settle('open', tokens).exit_code, code)
        report = self.report()
        self.assertEqual(report['breaches'], [])
        self.assertEqual(report['teams']['team']['recorded'], recorded)
        left = int(code != exit_codes.OK)
        self.assertEqual(report['claims_open'], left)
        # Nobody runs it again, and a second word changes nothing.
        self.assertIsNotNone(self.server.read('claim/team/open'))
        again = self.settle('open', 7)
        if not left:
            self.assertEqual(again.exit_code, exit_codes.CONFLICT)
            self.assertIn('billed already', again.output)

    def test_settle_without_a_claim(self):
        self.assertEqual(self.settle('new', 1).exit_code, exit_codes.CONFLICT)

    def settle(self, key, tokens):
        """Run the command that ends a claim."""
        told = ['--tokens', str(tokens), '--by', 'Éva']
        arguments = ['budget', 'settle', f'team/{key}', *told]
        return CliRunner().invoke(main, arguments + self.server.options())

    @parameterized.expand(
        [
            ('of a router without an address', False),
            ('that may be lent', True),
        ],
    )
    def test_stranded(self, _, closed):
        taken = Account(prepaid=1000, taken=550, folded=100)
        left = Allotment(granted=50, closed=closed, at=7)
        self.server.put(account_key('team'), encode_record(taken))
        self.server.put(allotment_key('gone', 'team'), encode_record(left))
        stranded = self.report()['stranded']
        self.assertEqual(
            stranded,
            [
                {
                    'team': 'team',
                    'incarnation': 'gone',
                    'tokens': 50,
                    'closed': closed,
                    'since': 7,
                },
            ],
        )

    def test_people_read_it(self):
        self.server.put(*_bill(101))
        ended = self.audit()
        self.assertEqual(ended.exit_code, exit_codes.BROKEN)
        self.assertIn(
            f'BROKEN {audit_report.BILLS_DIFFER_FROM_SPEND}: team', ended.output
        )
        self.assertIn('team: prepaid 1000, recorded 160', ended.output)

    def test_platform_away(self):
        self.server.go_down()
        ended = self.audit()
        self.assertEqual(ended.exit_code, exit_codes.UNREACHABLE, ended.output)
        self.assertIn('table service', ended.output)
