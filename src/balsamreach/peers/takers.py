"""Who takes messages of which kind."""

import logging

import attrs

from balsamreach.peers.base import Taker
from balsamreach.telemetry.logs import log_event
from balsamreach.wire.base import Message
from balsamreach.wire.membership import Member
from balsamreach.wire.replies import Done, Refused

_logger = logging.getLogger(__name__)


@attrs.define(eq=False)
class Takers:
    """Hands each message to the one who takes its kind."""

    _takers: dict[type[Message], Taker] = attrs.field(factory=dict)

    def on(self, kind: type[Message], taker: Taker) -> None:
        """Name the taker of a kind."""
        assert kind not in self._takers, kind
        self._takers[kind] = taker

    async def take(self, member: Member, message: Message) -> Message:
        """Return the answer to a message; it counts only for asks.

        Parameters
        ----------
        member : Member
            Who sent the message.
        message : Message
            The message.

        Returns
        -------
        Message
            The taker's answer, or Refused if there is no taker or it fails.
        """
        kind = type(message).__name__
        taker = self._takers.get(type(message))
        if taker is None:
            return Refused('no_taker', f'{kind} is not taken here')
        try:
            answer = await taker(member, message)
        except Exception as exc:
            # A fault in one taker must not end the connection: every other
            # part of the router uses it too. The log tells whose fault.
            log_event(
                _logger,
                logging.ERROR,
                'taker_failed',
                reason=repr(exc),
                kind=kind,
                incarnation=member.incarnation,
            )
            return Refused('failed', f'{kind} met an error here')
        return Done() if answer is None else answer
