"""One generation of the stand-in engine and the events it consists of."""

import asyncio
import json
from typing import Any

import attrs

from balsamreach.standins.engine_text import prompt_of, usage_of

DONE = '[DONE]'


@attrs.define(eq=False)
class Generation:
    """A reply in the making: its events so far and who reads them.

    Parameters
    ----------
    ident : str
        Name under which it can be resumed and cancelled.
    body : dict
        The chat request.
    usage_mode : str
        ``right``, ``missing``, ``negative`` or ``huge``.
    keep_s : float
        Seconds it lives on after its last reader went away.
    """

    ident: str
    body: dict[str, Any]
    created: int
    usage_mode: str = 'right'
    keep_s: float = 0
    priority: int = 0
    headers: dict[str, str] = attrs.Factory(dict)
    events: list[str] = attrs.Factory(list)
    text: str = ''
    finish_reason: str = 'stop'
    readers: int = 0
    ended: bool = False
    cancelled: bool = False
    task: asyncio.Task[None] | None = None
    prompt: str = attrs.field(init=False)
    _wants_usage: bool = attrs.field(init=False)
    _news: asyncio.Event = attrs.Factory(asyncio.Event)

    def __attrs_post_init__(self) -> None:
        """Read the request once."""
        self.prompt = prompt_of(self.body)
        options = self.body.get('stream_options') or {}
        self._wants_usage = bool(options.get('include_usage'))

    def begin(self) -> None:
        """Add the event that opens an answer."""
        self._add_choice({'role': 'assistant', 'content': ''}, None)

    def say(self, word: str) -> None:
        """Add one word."""
        content = f' {word}' if self.text else word
        self.text += content
        self._add_choice({'content': content}, None)

    def finish(self, reason: str) -> None:
        """Add the closing events."""
        self.finish_reason = reason
        self._add_choice({}, reason)
        usage = usage_of(self.usage_mode, self.prompt, self.text)
        if self._wants_usage and usage is not None:
            self._add({'choices': [], 'usage': usage})
        self.events.append(DONE)
        self.end()

    def end(self) -> None:
        """Mark that no event will follow."""
        self.ended = True
        self._wake()

    def cancel(self) -> None:
        """Stop generating; readers see the stream end without its mark."""
        if self.ended:
            return
        self.cancelled = True
        if self.task is not None:
            self.task.cancel()
        self.end()

    async def news(self) -> None:
        """Wait until there is a further event, or the end."""
        await self._news.wait()

    def whole(self) -> dict[str, Any]:
        """Return the answer in its plain JSON form."""
        message = {'role': 'assistant', 'content': self.text}
        choice = {
            'index': 0,
            'message': message,
            'finish_reason': self.finish_reason,
            'logprobs': None,
        }
        answer = self._envelope('chat.completion') | {'choices': [choice]}
        usage = usage_of(self.usage_mode, self.prompt, self.text)
        return answer if usage is None else answer | {'usage': usage}

    def _add_choice(self, delta: dict[str, str], reason: str | None) -> None:
        choice = {
            'index': 0,
            'delta': delta,
            'finish_reason': reason,
            'logprobs': None,
        }
        # With usage asked for, every other chunk carries it as null.
        tail = {'usage': None} if self._wants_usage else {}
        self._add({'choices': [choice]} | tail)

    def _add(self, part: dict[str, Any]) -> None:
        chunk = self._envelope('chat.completion.chunk') | part
        self.events.append(json.dumps(chunk, separators=(',', ':')))
        self._wake()

    def _envelope(self, kind: str) -> dict[str, Any]:
        return {
            'id': f'chatcmpl-{self.ident}',
            'object': kind,
            'created': self.created,
            'model': self.body.get('model', ''),
        }

    def _wake(self) -> None:
        # Each waiter holds the old event, so a fresh one can take its place.
        self._news.set()
        self._news = asyncio.Event()
