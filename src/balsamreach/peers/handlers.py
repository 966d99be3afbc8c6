"""Registry of message handlers."""

import logging

import attrs

from balsamreach.peers.base import Handler
from balsamreach.telemetry.logs import log_event
from balsamreach.wire.base import Message
from balsamreach.wire.membership import Member
from balsamreach.wire.replies import Done, Refused

_logger = logging.getLogger(__name__)


@attrs.define(eq=False)
class HandlerRegistry:
    """Passes each message to the handler of its kind."""

    _handlers: dict[type[Message], Handler] = attrs.field(factory=dict)

    def on(self, kind: type[Message], handler: Handler) -> None:
        """Register the handler of a kind; one for each kind."""
        assert kind not in self._handlers, kind
        self._handlers[kind] = handler

    async def handle(self, member: Member, message: Message) -> Message:
        """Handle a message; the returned answer is used only for requests.

        Parameters
        ----------
        member : Member
            The sender.
        message : Message
            The message.

        Returns
        -------
        Message
            The handler's answer, or Refused if there is no handler or it fails.
        """
        kind = type(message).__name__
        handler = self._handlers.get(type(message))
        if handler is None:
            return Refused(
                'no_taker', f'messages of kind {kind} are not taken here'
            )
        try:
            answer = await handler(member, message)
        except Exception as exc:
            # An exception in one handler must not end the connection, which all
            # other parts of the router use too. The log names the kind.
            log_event(
                _logger,
                logging.ERROR,
                'taker_failed',
                reason=repr(exc),
                kind=kind,
                incarnation=member.incarnation,
            )
            return Refused('failed', f'the handler of {kind} met an error here')
        return Done() if answer is None else answer
