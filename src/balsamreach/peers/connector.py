"""Opens connections to routers and lets in those that they open."""

import logging
from collections.abc import Callable

import attrs
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from balsamreach.peers.faults import NOT_CONNECTED, STRANGER, PeerFault
from balsamreach.peers.greeting import Refusal, greet, welcome
from balsamreach.peers.link import Link, LinkContext
from balsamreach.peers.tls import TlsContexts
from balsamreach.peers.waiting import within
from balsamreach.telemetry.logs import log_event
from balsamreach.wire.codec import MOST_BYTES
from balsamreach.wire.framing import HEAD
from balsamreach.wire.messages import Hello

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
    _client: TCPClient = attrs.field(factory=TCPClient)

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
        gap = self.context.cfg.gap_timeout
        hello = await within(
            self.context.clock,
            gap,
            welcome(stream, self.hello()),
        )
        if isinstance(hello, Hello):
            return Link(self.context, stream, hello.member, dialled=False)
        refusal = hello or Refusal('no_greeting', 'no greeting in time')
        self._refuse(refusal.code, refusal.reason, address)
        stream.close()
        return None

    async def _dial(self, address: str) -> Link | PeerFault:
        host, _, port = address.rpartition(':')
        try:
            stream = await self._client.connect(
                host,
                int(port),
                ssl_options=self.tls.client,
                max_buffer_size=_MOST_BUFFER,
            )
        except (OSError, StreamClosedError, ValueError) as exc:
            return NOT_CONNECTED.because(f'{address}: {exc}')
        try:
            hello = await greet(stream, self.hello())
        except BaseException:
            # Cancelled for lack of time: a connection left open would be
            # held for a live one by the other end.
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
