"""Receives requests that other routers forward over HTTP."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus

import attrs

from balsamreach.gateway.forwarding_client import FORWARDING_PATH
from balsamreach.relay.caller_response import CallerResponse
from balsamreach.relay.codec import CallerRequest
from balsamreach.wire.codec import decode
from balsamreach.wire.faults import WireFault
from balsamreach.wire.forwarding import ForwardedRequest
from balsamreach.wire.framing import LENGTH_BYTES

#: Runs a request with its body, and writes the response.
Runner = Callable[[ForwardedRequest, bytes, CallerResponse], Awaitable[None]]


@attrs.frozen
class ForwardingHandler:
    """Reads requests of other routers and has them run.

    Parameters
    ----------
    fleet : str
        Name of the fleet; routers of other fleets are refused, as on
        connections between peers.
    run : callable
        Runs a request.
    """

    fleet: str
    run: Runner

    async def answer(
        self, request: CallerRequest, response: CallerResponse
    ) -> None:
        """Answer one request of another router."""
        if request.path != FORWARDING_PATH:
            _refuse(response, HTTPStatus.NOT_FOUND)
            return
        message, body = _read(request.body)
        if message is None:
            _refuse(response, HTTPStatus.BAD_REQUEST)
        elif message.fleet != self.fleet:
            _refuse(response, HTTPStatus.FORBIDDEN)
        else:
            await self.run(message, body, response)


def _read(payload: bytes) -> tuple[ForwardedRequest | None, bytes]:
    """Return the message and the body; None for a malformed message."""
    end = LENGTH_BYTES + int.from_bytes(payload[:LENGTH_BYTES])
    envelope = decode(payload[LENGTH_BYTES:end])
    if isinstance(envelope, WireFault):
        return None, b''
    message = envelope.message
    if not isinstance(message, ForwardedRequest):
        return None, b''
    is_paired = len(message.header_names) == len(message.header_values)
    if not is_paired or len(message.part_ids) != len(message.part_tokens):
        return None, b''
    return message, payload[end:]


def _refuse(response: CallerResponse, status: HTTPStatus) -> None:
    response.start(status, (('Content-Length', '0'),))
    response.finish()
