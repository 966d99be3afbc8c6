"""Tests of the readiness and metrics endpoints without the framework."""

from parameterized import parameterized
from tornado.testing import AsyncHTTPTestCase

from balsamreach.gateway.probes import Probes
from balsamreach.telemetry.metrics import CONTENT_TYPE, Metrics


class ProbesTest(AsyncHTTPTestCase):
    """Responses to the balancer and to operators."""

    def get_app(self):
        self.state = 'starting'
        self.metrics = Metrics()
        return Probes('/ready', lambda: self.state, self.metrics)

    @parameterized.expand(
        [
            ('starting', 'GET', 503, b'{"status": "starting"}'),
            ('ready', 'GET', 200, b'{"status": "ready"}'),
            ('leaving', 'GET', 503, b'{"status": "leaving"}'),
            ('ready', 'HEAD', 200, b''),
        ]
    )
    def test_ready(self, state, method, status, body):
        self.state = state
        answer = self.fetch('/ready', method=method)
        self.assertEqual((answer.code, answer.body), (status, body))

    def test_metrics(self):
        self.metrics.count('some_total')
        answer = self.fetch('/metrics')
        self.assertEqual(answer.headers['Content-Type'], CONTENT_TYPE)
        self.assertIn(b'some_total 1', answer.body)

    @parameterized.expand([('/else', 'GET', 404), ('/ready', 'DELETE', 405)])
    def test_other_requests(self, path, method, status):
        self.assertEqual(self.fetch(path, method=method).code, status)
