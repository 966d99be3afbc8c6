"""Tests of parsing and writing the platform's HTTP requests and answers."""

import inspect
import random
import unittest

from parameterized import parameterized

from balsamreach.catalogue.serialization import (
    configuration_row,
    read_document,
)
from balsamreach.placement.notices import TargetNotice
from balsamreach.platform.configuration import CatalogueReader
from balsamreach.platform.requests import PlatformCodec
from balsamreach.relay import faults
from balsamreach.relay.codec import CallerRequest
from balsamreach.relay.faults import RelayFault
from tests.relay_samples import entry

_FIELDS = {
    'version': 7,
    'routes': [
        {
            'name': 'short',
            'host': 'Host.example',
            'prefix': '/a/',
            'route_type': 'idempotent',
            'timeout_ms': 800,
            'target_latency_ms': 100,
            'priority': 2,
            'service': 'desk',
            'max_attempts': 2,
            'public_access': True,
        },
        {
            'name': 'long',
            'host': 'host.example',
            'prefix': '/a/b/',
            'route_type': 'streaming',
            'timeout_ms': 12000,
            'target_latency_ms': 600,
            'priority': 0,
            'traffic_split': [
                {'service': 'engines', 'weight': 90},
                {'service': 'others', 'weight': 10},
            ],
            'max_attempts': 2,
            'stream_resume': True,
            'gap_aim_ms': 300,
        },
    ],
    'services': [
        {
            'name': 'engines',
            'max_conns': 370,
            'engine': {'slots': 64, 'kv_capacity': 1000, 'stride': 7},
        },
        {'name': 'desk', 'max_conns': 110},
    ],
    'limits': {'max_body_bytes': 4096, 'idle_timeout_ms': 15000},
    'tenants': [
        {'name': 't', 'api_keys': ['k1'], 'priority': 1, 'prepaid': 900},
    ],
}
_CATALOGUE = CatalogueReader().read(_FIELDS)


def _request(path='/a/b/c', **headers):
    lines = {
        'Host': 'host.example:80',
        'Attempt-Id': 'a1',
        'Authorization': 'Bearer k1',
        'Token-Counts': '1460,80',
        'Prompt-Prefix': '5C1E:800,91bd:410',
        'Deadline-Ms': '2000',
        'Last-Event-Id': '12',
        'X-Own': 'kept',
    }
    lines |= {name.replace('_', '-'): text for name, text in headers.items()}
    return CallerRequest(
        method='POST',
        path=path,
        headers=tuple((k, v) for k, v in lines.items() if v),
        body=b'',
        arrived=100,
    )


class CatalogueTest(unittest.TestCase):
    """Parsing the stored configuration."""

    def test_routes(self):
        long = _CATALOGUE.find_route('HOST.example:80', '/a/b/c')
        self.assertEqual(long.name, 'long')
        self.assertTrue(long.streams and long.resumable)
        self.assertFalse(long.idempotent)
        self.assertEqual(long.timeout, 12)
        self.assertEqual(long.splits[0].weight, 90)
        short = _CATALOGUE.find_route('host.example', '/a/x')
        self.assertTrue(short.idempotent and short.public)
        self.assertIsNone(_CATALOGUE.find_route('host.example', '/b/'))

    def test_services_teams_and_limits(self):
        engine = _CATALOGUE.services['engines'].engine
        self.assertEqual(engine.tokens_per_event, 7)
        self.assertFalse(engine.backups)
        self.assertIsNone(_CATALOGUE.services['desk'].engine)
        self.assertEqual(_CATALOGUE.teams['t'].prepaid, 900)
        self.assertEqual(_CATALOGUE.limits.body_bytes, 4096)

    @parameterized.expand(
        ((True, True), (False, False), (1, False), ('x', False))
    )
    def test_backups(self, value, allowed):
        """An engine that doesn't clearly allow copies gets none.

        The field must also survive the document that routers send each other.
        """
        service = _FIELDS['services'][0]
        engine = service['engine'] | {'backups': value}
        fields = _FIELDS | {'services': [service | {'engine': engine}]}
        row = configuration_row(CatalogueReader().read(fields))
        catalogue = CatalogueReader().decode(read_document(row))
        self.assertIs(catalogue.services['engines'].engine.backups, allowed)

    def test_document_round_trip(self):
        again = CatalogueReader().decode(_CATALOGUE.write())
        self.assertEqual(again.version, 7)
        self.assertEqual(again.routes, _CATALOGUE.routes)

    def test_unchanged_routes_are_not_parsed_again(self):
        """Guards against parsing the whole configuration for each change.

        With 1,800 routes, of which one changes ten times a second, each parse
        takes some 60 ms on a small host and delays requests.
        """
        reader = CatalogueReader()
        before = reader.read(_FIELDS)
        routes = [dict(route) for route in _FIELDS['routes']]
        routes[0]['timeout_ms'] = 900
        after = reader.read(_FIELDS | {'version': 8, 'routes': routes})
        self.assertEqual(after.routes[0].timeout, 0.9)
        self.assertIs(after.routes[1], before.routes[1])
        fresh = CatalogueReader().read(_FIELDS | {'routes': routes})
        self.assertEqual(after.routes, fresh.routes)

    @parameterized.expand((('no_json', '{'), ('no_routes', '{"version": 1}')))
    def test_invalid_document(self, _, document):
        self.assertIsNone(CatalogueReader().decode(document))


class ReadRequestTest(unittest.TestCase):
    """Callers' requests are parsed, or refused with a fault."""

    def setUp(self):
        self.codec = PlatformCodec(random.Random(1))

    def read(self, *args, **headers):
        return self.codec.read_request(_request(*args, **headers), _CATALOGUE)

    def test_prompt(self):
        call = self.read()
        self.assertEqual(call.request_id, 'a1')
        self.assertEqual(call.prompt.tokens, 1460)
        self.assertEqual(call.prompt.max_output_tokens, 80)
        self.assertEqual(call.prompt.parts[0].part_id, '5c1e')
        self.assertEqual(call.deadline, 102)
        self.assertEqual(call.priority, 1)
        self.assertEqual(call.last_event, '12')
        self.assertEqual(call.resumes, '')
        self.assertEqual(call.team_name, 't')

    def test_timeout_of_route_limits_the_deadline(self):
        call = self.read('/a/x', Deadline_Ms='60000')
        self.assertEqual(call.deadline, 100.8)

    def test_public_route_needs_no_key(self):
        call = self.read('/a/x', Authorization='')
        self.assertIsNone(call.team)

    @parameterized.expand(
        (
            ('no_route', '/z/', {}, faults.NO_ROUTE),
            ('no_key', '/a/b/', {'Authorization': ''}, faults.UNKNOWN_KEY),
            (
                'wrong_key',
                '/a/b/',
                {'Authorization': 'Bearer k2'},
                faults.UNKNOWN_KEY,
            ),
            ('no_id', '/a/b/', {'Attempt_Id': ''}, faults.MALFORMED),
            ('time', '/a/b/', {'Deadline_Ms': '-5'}, faults.MALFORMED),
            ('counts', '/a/b/', {'Token_Counts': '5'}, faults.MALFORMED),
            ('parts', '/a/b/', {'Prompt_Prefix': 'zz:1'}, faults.MALFORMED),
            ('resumes', '/a/b/', {'Resumes': 'x' * 4000}, faults.MALFORMED),
        )
    )
    def test_refused(self, _, path, headers, fault):
        self.assertEqual(self.read(path, **headers), fault)

    def test_router_only_headers_are_dropped(self):
        """Guards against forwarding headers that only the router may set.

        With these a caller could use the cache of another one, and its key
        would reach the target.
        """
        forged = {
            'Tenant_Name': 'other',
            'Kv_Hold': 'h',
            'Kv_From': '10.0.0.1:1/x',
            'Kv_Backup': 'b',
            'Pin_Ms': '9',
            'Expect_Instance': 'i',
            'Request_Priority': '0',
            'Connection': 'X-Hop',
            'X_Hop': 'dropped',
        }
        call = self.read(**forged)
        target = entry('i-1', 'engines')
        lines = self.codec.target_headers(call, target, 1.5, '3')
        sent = dict(lines)
        self.assertEqual(len(lines), len(sent))
        self.assertEqual(
            sent,
            {
                'Host': 'host.example:80',
                'Attempt-Id': 'a1',
                'Token-Counts': '1460,80',
                'Prompt-Prefix': '5C1E:800,91bd:410',
                'X-Own': 'kept',
                'Deadline-Ms': '1500',
                'Expect-Instance': 'i-1',
                'Request-Priority': '1',
                'Tenant-Name': 't',
                'Last-Event-Id': '3',
            },
        )

    @parameterized.expand(
        (fault.code, fault)
        for _name, fault in inspect.getmembers(faults)
        if isinstance(fault, RelayFault)
    )
    def test_not_run_statuses(self, _, fault):
        """408, 421, 429 and 503 are sent only if the request did not run."""
        answer = self.codec.refuse(fault)
        is_not_run_status = answer.status in {408, 421, 429, 503}
        if is_not_run_status:
            self.assertTrue(fault.not_run)
        if not fault.not_run:
            self.assertIn(answer.status, {502, 504})

    def test_retry_after_may_be_a_fraction(self):
        answer = self.codec.refuse(faults.NO_TARGET)
        self.assertEqual(dict(answer.headers)['Retry-After'], '0.50')


class ReadAnswerTest(unittest.TestCase):
    """Parsing status and headers of targets' answers."""

    @parameterized.expand(
        (
            ('ok', 200, {'response-stamp': 's'}, 'signed'),
            ('shed', 503, {'not-executed': '1'}, 'not_run'),
            ('elsewhere', 421, {}, 'misdirected'),
        )
    )
    def test_flags(self, _, status, headers, flag):
        head = PlatformCodec(random.Random(1)).read_answer(status, headers)
        flags = {
            'signed': head.signed,
            'not_run': head.not_run,
            'misdirected': head.misdirected,
        }
        self.assertEqual(
            [name for name, is_set in flags.items() if is_set], [flag]
        )

    @parameterized.expand(
        (
            ('none', 503, {}, False, 0),
            ('leaves', 200, {'server-leaving': '1'}, True, 0),
            ('leaves_and_fails', 500, {'server-leaving': '1'}, True, 0),
            ('told_twice', 404, {'server-leaving': '1, 1'}, True, 0),
            ('stays', 200, {'server-leaving': '0'}, False, 0),
            ('back_off', 503, {'retry-after': '3'}, False, 3),
            ('too_many', 429, {'retry-after': '0.25'}, False, 0.25),
            ('not_a_rejection', 200, {'retry-after': '3'}, False, 0),
            ('longest_of_two', 503, {'retry-after': '3, 7'}, False, 7),
            ('huge', 503, {'retry-after': '9' * 12}, False, 3600),
            ('too_long_to_read', 503, {'retry-after': '9' * 400}, False, 0),
            ('negative', 503, {'retry-after': '-3'}, False, 0),
            ('no_number', 503, {'retry-after': 'nan'}, False, 0),
            (
                'date',
                503,
                {'retry-after': 'Wed, 21 Oct 2015 07:28:00 GMT'},
                False,
                0,
            ),
        )
    )
    def test_notice(self, _, status, headers, leaving, seconds):
        head = PlatformCodec(random.Random(1)).read_answer(status, headers)
        expected = TargetNotice(leaving=leaving, retry_after=seconds)
        self.assertEqual(head.notice, expected)

    def test_hop_by_hop_headers_are_dropped(self):
        """The router frames the body anew, so the length goes as well."""
        head = PlatformCodec(random.Random(1)).read_answer(
            200,
            {
                'connection': 'close, X-Hop',
                'keep-alive': 'x',
                'content-length': '5',
                'transfer-encoding': 'chunked',
                'x-hop': '1',
                'x-end': '1',
            },
        )
        self.assertEqual(head.headers, (('x-end', '1'),))
