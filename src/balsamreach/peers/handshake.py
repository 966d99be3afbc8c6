"""The handshake: the first message in each direction."""

import attrs
from tornado.iostream import IOStream

from balsamreach.peers.faults import HELLO_REFUSED, LINK_CLOSED, PeerFault
from balsamreach.wire.base import Message
from balsamreach.wire.codec import Envelope, decode, encode
from balsamreach.wire.faults import WireFault
from balsamreach.wire.framing import frame, read_frame, write
from balsamreach.wire.membership import Hello
from balsamreach.wire.replies import Refused

#: Oldest protocol version that this release supports.
OLDEST_VERSION = 1
#: Maximum size of a Hello; limits the memory for unknown peers.
MAX_HELLO_BYTES = 4096


@attrs.frozen
class Refusal:
    """Why a handshake is refused."""

    code: str
    reason: str


async def initiate_handshake(
    stream: IOStream, hello: Hello
) -> Hello | PeerFault:
    """Send the Hello of the dialling end and check the answer.

    Parameters
    ----------
    stream : IOStream
        The connection.
    hello : Hello
        This router's Hello.

    Returns
    -------
    Hello or PeerFault
        The peer's Hello; HELLO_REFUSED with the reason if either end refuses,
        LINK_CLOSED if the connection ends.
    """
    await _send(stream, hello)
    answer = await _read(stream)
    if isinstance(answer, PeerFault):
        return answer
    if isinstance(answer, Refused):
        return HELLO_REFUSED.because(f'refused: {answer.reason}')
    refusal = check_hello(answer, hello)
    if refusal is not None:
        return HELLO_REFUSED.because(refusal.reason)
    return answer


async def accept_handshake(stream: IOStream, hello: Hello) -> Hello | Refusal:
    """Read and check the Hello of the dialling end, and answer it.

    Parameters
    ----------
    stream : IOStream
        The connection.
    hello : Hello
        This router's Hello.

    Returns
    -------
    Hello or Refusal
        The peer's Hello; a Refusal has already been sent to the peer.
    """
    received = await _read(stream)
    if isinstance(received, PeerFault):
        refusal = Refusal('no_greeting', received.reason)
    else:
        refusal = check_hello(received, hello)
    if refusal is not None:
        await _send(stream, Refused(refusal.code, refusal.reason))
        return refusal
    await _send(stream, hello)
    return received


def check_hello(received: Message, hello: Hello) -> Refusal | None:
    """Return why a first message is refused, None if it is accepted."""
    if not isinstance(received, Hello):
        return Refusal('no_greeting', 'the first message is no Hello')
    if received.version < OLDEST_VERSION:
        return Refusal(
            'old_version',
            f'version {received.version} is older than {OLDEST_VERSION}',
        )
    if received.fleet != hello.fleet:
        return Refusal(
            'other_fleet', f'fleet {received.fleet!r} does not match'
        )
    if received.member.incarnation == hello.member.incarnation:
        return Refusal('itself', 'a router needs no connection to itself')
    return None


async def _send(stream: IOStream, message: Message) -> None:
    packed = encode(Envelope(message))
    # A broken connection shows at the next read, with its reason.
    if not isinstance(packed, WireFault):
        await write(stream, frame(packed))


async def _read(stream: IOStream) -> Message | PeerFault:
    packed = await read_frame(stream, MAX_HELLO_BYTES)
    if isinstance(packed, WireFault):
        return LINK_CLOSED.because(packed.reason)
    envelope = decode(packed)
    if isinstance(envelope, WireFault):
        return HELLO_REFUSED.because(envelope.reason)
    return envelope.message
