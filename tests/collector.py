"""A minimal OTLP collector that runs in the event loop of a test."""

import asyncio
from itertools import chain

import attrs
from opentelemetry.proto.collector.trace.v1.trace_service_pb2 import (
    ExportTraceServiceRequest,
    ExportTraceServiceResponse,
)
from opentelemetry.proto.resource.v1.resource_pb2 import Resource
from opentelemetry.proto.trace.v1.trace_pb2 import Span
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler


@attrs.frozen
class Received:
    """A span and the resource attributes of its process."""

    resource: dict[str, str]
    span: Span


@attrs.define(eq=False)
class Collector:
    """Stores received exports; answers only while its gate is set."""

    received: list[ExportTraceServiceRequest] = attrs.field(factory=list)
    requests: int = 0
    gate: asyncio.Event = attrs.field(factory=asyncio.Event)
    url: str = ''
    _server: HTTPServer = attrs.field(init=False)

    def start(self) -> None:
        """Listen on a free port."""
        self.gate.set()
        route = ('/v1/traces', TracesHandler, {'collector': self})
        self._server = HTTPServer(Application([route]))
        sockets = bind_sockets(0, '127.0.0.1')
        self._server.add_sockets(sockets)
        port = sockets[0].getsockname()[1]
        self.url = f'http://127.0.0.1:{port}'

    async def stop(self) -> None:
        """Close the listener and all connections."""
        self.gate.set()
        self._server.stop()
        await self._server.close_all_connections()

    def spans(self) -> list[Received]:
        """Return all spans in the order of their arrival."""
        groups = [list(request.resource_spans) for request in self.received]
        return [
            Received(_attributes(group.resource), span)
            for group in chain(*groups)
            for span in chain(*[scope.spans for scope in group.scope_spans])
        ]


class TracesHandler(RequestHandler):
    """Receives exports over OTLP/HTTP."""

    def initialize(self, collector: Collector) -> None:
        """Set the collector that stores the spans."""
        self.collector = collector

    async def post(self) -> None:
        """Decode the spans, wait for the gate and answer."""
        assert self.request.headers['Content-Type'] == 'application/x-protobuf'
        export = ExportTraceServiceRequest.FromString(self.request.body)
        self.collector.requests += 1
        await self.collector.gate.wait()
        self.collector.received.append(export)
        self.set_header('Content-Type', 'application/x-protobuf')
        await self.finish(ExportTraceServiceResponse().SerializeToString())


def _attributes(resource: Resource) -> dict[str, str]:
    return {pair.key: pair.value.string_value for pair in resource.attributes}
