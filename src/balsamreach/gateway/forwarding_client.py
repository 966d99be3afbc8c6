"""Sends requests to other routers over HTTP, which send them to targets."""

import attrs

from balsamreach.dispatch.upstream import NOT_SENT, Intake, UpstreamFault
from balsamreach.placement.relay_targets import TargetEntry
from balsamreach.relay.call import RelayCall
from balsamreach.relay.exchange import Exchange, Outgoing
from balsamreach.relay.forwarding import ForwardingClient
from balsamreach.wire.codec import Envelope, encode
from balsamreach.wire.faults import WireFault
from balsamreach.wire.forwarding import ForwardedRequest
from balsamreach.wire.framing import frame
from balsamreach.wire.membership import Member

#: Path of forwarded requests; they are sent by POST. The body is a frame with
#: the message, followed by the body of the request.
FORWARDING_PATH = '/v1/forward'
_ROUTERS = 'routers'


@attrs.frozen
class HttpForwardingClient(ForwardingClient):
    """Sends requests to the other routers' listeners for them.

    Parameters
    ----------
    exchange : Exchange
        Sends the messages.
    """

    exchange: Exchange

    async def send(
        self,
        router: Member,
        call: RelayCall,
        message: ForwardedRequest,
        intake: Intake,
    ) -> UpstreamFault | None:
        """Send a request and pass the response to the intake until it ends."""
        packed = encode(Envelope(message))
        if isinstance(packed, WireFault):
            return NOT_SENT.because(packed.reason)
        outgoing = Outgoing(
            target=TargetEntry(
                target_id=router.incarnation,
                service=_ROUTERS,
                address=router.forwarding,
                zone=router.zone,
            ),
            method='POST',
            path=FORWARDING_PATH,
            headers=(),
            prefix=frame(packed),
            body=call.body,
            new_connection=not call.repeatable,
        )
        return await self.exchange.send(outgoing, intake)
