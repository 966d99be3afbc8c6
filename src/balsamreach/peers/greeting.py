"""The first message each way on a connection, and whom it lets in."""

import attrs
from tornado.iostream import IOStream

from balsamreach.peers.faults import LINK_CLOSED, STRANGER, PeerFault
from balsamreach.wire.base import Message
from balsamreach.wire.codec import Envelope, decode, encode
from balsamreach.wire.faults import WireFault
from balsamreach.wire.framing import frame, read_frame, write
from balsamreach.wire.membership import Hello
from balsamreach.wire.replies import Refused

#: Oldest protocol version that this release still understands.
OLDEST_VERSION = 1
#: Most bytes of a greeting: who isn't known yet gets no more memory.
MOST_GREETING = 4096


@attrs.frozen
class Refusal:
    """Why a greeting is refused."""

    code: str
    reason: str


async def greet(stream: IOStream, hello: Hello) -> Hello | PeerFault:
    """Greet the router that this one opened a connection to.

    Parameters
    ----------
    stream : IOStream
        The connection.
    hello : Hello
        Who this router is.

    Returns
    -------
    Hello or PeerFault
        Who the other is; STRANGER with the reason if either refuses.
    """
    await _send(stream, hello)
    answer = await _read(stream)
    if isinstance(answer, PeerFault):
        return answer
    if isinstance(answer, Refused):
        return STRANGER.because(f'refused: {answer.reason}')
    refusal = check(answer, hello)
    if refusal is not None:
        return STRANGER.because(refusal.reason)
    return answer


async def welcome(stream: IOStream, hello: Hello) -> Hello | Refusal:
    """Wait for the greeting of a router that opened a connection.

    Parameters
    ----------
    stream : IOStream
        The connection.
    hello : Hello
        Who this router is.

    Returns
    -------
    Hello or Refusal
        Who the other is; a refusal was told to the other already.
    """
    greeting = await _read(stream)
    if isinstance(greeting, PeerFault):
        refusal = Refusal('no_greeting', greeting.reason)
    else:
        refusal = check(greeting, hello)
    if refusal is not None:
        await _send(stream, Refused(refusal.code, refusal.reason))
        return refusal
    await _send(stream, hello)
    return greeting


def check(greeting: Message, hello: Hello) -> Refusal | None:
    """Return why a greeting is to be refused, None if it is not."""
    if not isinstance(greeting, Hello):
        return Refusal('no_greeting', 'the first message is no greeting')
    if greeting.version < OLDEST_VERSION:
        return Refusal(
            'old_version',
            f'version {greeting.version} is older than {OLDEST_VERSION}',
        )
    if greeting.fleet != hello.fleet:
        return Refusal('other_fleet', f'fleet {greeting.fleet!r} is another')
    if greeting.member.incarnation == hello.member.incarnation:
        return Refusal('itself', 'a router needs no connection to itself')
    return None


async def _send(stream: IOStream, message: Message) -> None:
    packed = encode(Envelope(message))
    # A broken connection shows at the next read, with its reason.
    if not isinstance(packed, WireFault):
        await write(stream, frame(packed))


async def _read(stream: IOStream) -> Message | PeerFault:
    packed = await read_frame(stream, MOST_GREETING)
    if isinstance(packed, WireFault):
        return LINK_CLOSED.because(packed.reason)
    envelope = decode(packed)
    if isinstance(envelope, WireFault):
        return STRANGER.because(envelope.reason)
    return envelope.message
