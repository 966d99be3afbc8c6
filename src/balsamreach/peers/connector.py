"""Opens connections to other routers and accepts theirs."""

import asyncio
import ipaddress
import logging
import socket
import ssl
from collections.abc import Callable

import attrs
from tornado.iostream import IOStream, SSLIOStream, StreamClosedError

from balsamreach.peers.faults import HELLO_REFUSED, NOT_CONNECTED, PeerFault
from balsamreach.peers.handshake import (
    Refusal,
    accept_handshake,
    initiate_handshake,
)
from balsamreach.peers.link import Link, LinkContext
from balsamreach.peers.timeouts import run_with_timeout
from balsamreach.peers.tls import TlsContexts
from balsamreach.telemetry.logs import log_event
from balsamreach.wire.codec import MAX_MESSAGE_BYTES
from balsamreach.wire.faults import WireFault
from balsamreach.wire.framing import LENGTH_BYTES, read_frame
from balsamreach.wire.membership import Hello

_logger = logging.getLogger(__name__)
_MAX_BUFFER = MAX_MESSAGE_BYTES + LENGTH_BYTES


@attrs.define(eq=False)
class Connector:
    """Establishes links: connection, TLS and handshake.

    Parameters
    ----------
    context : LinkContext
        Shared by all links.
    hello : callable
        Returns the current Hello of this router.
    tls : TlsContexts
        Replaced as a whole when certificates are reloaded.
    """

    context: LinkContext
    hello: Callable[[], Hello]
    tls: TlsContexts = attrs.field(factory=TlsContexts)

    async def dial(self, address: str) -> Link | PeerFault:
        """Open a connection to an address and do the handshake.

        Parameters
        ----------
        address : str
            ``ip:port`` of the listener of a router.

        Returns
        -------
        Link or PeerFault
            The link, NOT_CONNECTED, or HELLO_REFUSED.
        """
        gap = self.context.cfg.gap_timeout
        link = await run_with_timeout(
            self.context.clock, gap, self._dial(address)
        )
        if link is None:
            return NOT_CONNECTED.because('no handshake in time')
        if link == HELLO_REFUSED:
            self._refuse('stranger', link.reason, address)
        return link

    async def accept(self, stream: IOStream, address: str) -> Link | None:
        """Do the handshake on an accepted connection.

        Returns
        -------
        Link or None
            The link, None if the other end was refused.
        """
        # Without this option a small answer would wait for the acknowledgement
        # of earlier data, some 40 ms each time (Nagle's algorithm).
        stream.set_nodelay(True)
        gap = self.context.cfg.gap_timeout
        link = await run_with_timeout(
            self.context.clock, gap, self._accept_hello(stream)
        )
        if isinstance(link, Link):
            return link
        refusal = link or Refusal('no_greeting', 'no handshake in time')
        self._refuse(refusal.code, refusal.reason, address)
        stream.close()
        return None

    async def _accept_hello(self, stream: IOStream) -> Link | Refusal:
        hello = await accept_handshake(stream, self.hello())
        if isinstance(hello, Refusal):
            return hello
        # If only outgoing packets are lost, the Hello of a peer still arrives,
        # on one connection after the other, but the peer never sees the answer
        # and gives up. A link made from it would keep the peer alive here, and
        # requests to it would time out. A peer that got the answer sends a
        # heartbeat, so wait for that.
        first_frame = await read_frame(stream, MAX_MESSAGE_BYTES)
        if isinstance(first_frame, WireFault):
            return Refusal(
                'no_greeting', f'handshake not confirmed: {first_frame.reason}'
            )
        return Link(
            self.context,
            stream,
            hello.member,
            dialled=False,
            first_frame=first_frame,
        )

    async def _dial(self, address: str) -> Link | PeerFault:
        host, _, port = address.rpartition(':')
        # Create the TLS stream before connecting. A stream converted afterwards
        # could not be closed while the TLS handshake hangs, and the log would
        # show exceptions that were never retrieved.
        stream = _new_stream(host, self.tls.client)
        try:
            await stream.connect((host, int(port)))
        except (OSError, StreamClosedError) as exc:
            return NOT_CONNECTED.because(f'{address}: {exc}')
        except asyncio.CancelledError:
            stream.close()
            raise
        return await self._send_hello(stream)

    async def _send_hello(self, stream: IOStream) -> Link | PeerFault:
        try:
            hello = await initiate_handshake(stream, self.hello())
        except asyncio.CancelledError:
            # Timed out: the other end would take a connection left open for a
            # live one.
            stream.close()
            raise
        if isinstance(hello, PeerFault):
            stream.close()
            return hello
        return Link(self.context, stream, hello.member, dialled=True)

    def _refuse(self, code: str, reason: str, address: str) -> None:
        self.context.counters.count_refused(code)
        log_event(
            _logger,
            logging.WARNING,
            'peer_refused',
            reason=reason,
            code=code,
            address=address,
        )


def _new_stream(host: str, tls: ssl.SSLContext | None) -> IOStream:
    # Addresses are IP addresses, so no resolver and its threads are needed.
    version = ipaddress.ip_address(host).version
    family = socket.AF_INET if version == 4 else socket.AF_INET6
    sock = socket.socket(family, socket.SOCK_STREAM)
    stream = IOStream(sock, max_buffer_size=_MAX_BUFFER)
    if tls is not None:
        stream = SSLIOStream(
            sock,
            max_buffer_size=_MAX_BUFFER,
            ssl_options=tls,
        )
    stream.set_nodelay(True)
    return stream
