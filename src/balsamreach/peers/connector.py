"""Opens connections to routers and lets in those that they open."""

import asyncio
import ipaddress
import logging
import socket
import ssl
from collections.abc import Callable

import attrs
from tornado.iostream import IOStream, SSLIOStream, StreamClosedError

from balsamreach.peers.faults import NOT_CONNECTED, STRANGER, PeerFault
from balsamreach.peers.greeting import Refusal, greet, welcome
from balsamreach.peers.link import Link, LinkContext
from balsamreach.peers.tls import TlsContexts
from balsamreach.peers.waiting import within
from balsamreach.telemetry.logs import log_event
from balsamreach.wire.codec import MOST_BYTES
from balsamreach.wire.faults import WireFault
from balsamreach.wire.framing import HEAD, read_frame
from balsamreach.wire.membership import Hello

_logger = logging.getLogger(__name__)
_MOST_BUFFER = MOST_BYTES + HEAD


@attrs.define(eq=False)
class Connector:
    """Makes links out of connections.

    Parameters
    ----------
    context : LinkContext
        What all links share.
    hello : callable
        Returns this router's greeting as of now.
    tls : TlsContexts
        Replaced as a whole when certificates are reloaded.
    """

    context: LinkContext
    hello: Callable[[], Hello]
    tls: TlsContexts = attrs.field(factory=TlsContexts)

    async def dial(self, address: str) -> Link | PeerFault:
        """Open a connection and greet whoever answers there.

        Parameters
        ----------
        address : str
            ``ip:port`` of a peers' listener.

        Returns
        -------
        Link or PeerFault
            The link, NOT_CONNECTED, or STRANGER.
        """
        gap = self.context.cfg.gap_timeout
        link = await within(self.context.clock, gap, self._dial(address))
        if link is None:
            return NOT_CONNECTED.because('no greeting in time')
        if link == STRANGER:
            self._refuse('stranger', link.reason, address)
        return link

    async def accept(self, stream: IOStream, address: str) -> Link | None:
        """Let a router in that opened a connection, or refuse it."""
        # Small answers would wait for the acknowledgement of what was sent
        # before them, some 40 ms each time.
        stream.set_nodelay(True)
        gap = self.context.cfg.gap_timeout
        link = await within(self.context.clock, gap, self._welcome(stream))
        if isinstance(link, Link):
            return link
        refusal = link or Refusal('no_greeting', 'no greeting in time')
        self._refuse(refusal.code, refusal.reason, address)
        stream.close()
        return None

    async def _welcome(self, stream: IOStream) -> Link | Refusal:
        hello = await welcome(stream, self.hello())
        if isinstance(hello, Refusal):
            return hello
        # Where only what this router sends is lost, a peer's greetings still
        # arrive, one connection after the other, none of which the peer ever
        # holds for open. Taken for links they would keep the peer alive here
        # and be asked in vain. Whoever got the answer sends a heartbeat.
        first = await read_frame(stream, MOST_BYTES)
        if isinstance(first, WireFault):
            return Refusal('no_greeting', f'not confirmed: {first.reason}')
        return Link(
            self.context,
            stream,
            hello.member,
            dialled=False,
            first=first,
        )

    async def _dial(self, address: str) -> Link | PeerFault:
        host, _, port = address.rpartition(':')
        # One stream from the connection through TLS. Turned into another
        # one between, it could not be closed while the handshake hangs; the
        # log would show exceptions that nobody retrieved.
        stream = _new_stream(host, self.tls.client)
        try:
            await stream.connect((host, int(port)))
        except (OSError, StreamClosedError) as exc:
            return NOT_CONNECTED.because(f'{address}: {exc}')
        except asyncio.CancelledError:
            stream.close()
            raise
        return await self._greet(stream)

    async def _greet(self, stream: IOStream) -> Link | PeerFault:
        try:
            hello = await greet(stream, self.hello())
        except asyncio.CancelledError:
            # Out of time: left open, the connection would be held for a
            # live one by the other end.
            stream.close()
            raise
        if isinstance(hello, PeerFault):
            stream.close()
            return hello
        return Link(self.context, stream, hello.member, dialled=True)

    def _refuse(self, code: str, reason: str, address: str) -> None:
        self.context.tally.refused(code)
        log_event(
            _logger,
            logging.WARNING,
            'peer_refused',
            reason=reason,
            code=code,
            address=address,
        )


def _new_stream(host: str, tls: ssl.SSLContext | None) -> IOStream:
    # Addresses are IP numbers, so no resolver and none of its threads.
    version = ipaddress.ip_address(host).version
    family = socket.AF_INET if version == 4 else socket.AF_INET6
    sock = socket.socket(family, socket.SOCK_STREAM)
    stream = IOStream(sock, max_buffer_size=_MOST_BUFFER)
    if tls is not None:
        stream = SSLIOStream(
            sock,
            max_buffer_size=_MOST_BUFFER,
            ssl_options=tls,
        )
    stream.set_nodelay(True)
    return stream
