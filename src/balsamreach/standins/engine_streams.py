"""A generation of the simulated engine and its events."""

import asyncio
import json
from typing import Any

import attrs

from balsamreach.standins.engine_text import prompt_of, usage_of

DONE = '[DONE]'


@attrs.define(eq=False)
class Generation:
    """A reply that is being generated: its events and readers.

    Parameters
    ----------
    ident : str
        Id for resuming and cancelling.
    body : dict
        Body of the chat request.
    usage_mode : str
        Reported token usage: ``right``, ``missing``, ``negative`` or
        ``huge``.
    keep_s : float
        Seconds for which it runs on without readers.
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
    _changed: asyncio.Event = attrs.Factory(asyncio.Event)

    def __attrs_post_init__(self) -> None:
        """Extract the prompt and the usage option from the request."""
        self.prompt = prompt_of(self.body)
        options = self.body.get('stream_options') or {}
        self._wants_usage = bool(options.get('include_usage'))

    def add_first_event(self) -> None:
        """Add the first event, which has the role and no content."""
        self._add_choice({'role': 'assistant', 'content': ''}, None)

    def add_word(self, word: str) -> None:
        """Add one word."""
        content = f' {word}' if self.text else word
        self.text += content
        self._add_choice({'content': content}, None)

    def finish(self, reason: str) -> None:
        """Add the final events."""
        self.finish_reason = reason
        self._add_choice({}, reason)
        usage = usage_of(self.usage_mode, self.prompt, self.text)
        if self._wants_usage and usage is not None:
            self._add({'choices': [], 'usage': usage})
        self.events.append(DONE)
        self.end()

    def end(self) -> None:
        """Mark the generation as ended."""
        self.ended = True
        self._notify()

    def cancel(self) -> None:
        """Stop generating; the stream ends without ``[DONE]``."""
        if self.ended:
            return
        self.cancelled = True
        if self.task is not None:
            self.task.cancel()
        self.end()

    async def wait_for_change(self) -> None:
        """Wait for the next event or the end."""
        await self._changed.wait()

    def completion(self) -> dict[str, Any]:
        """Return the reply as one chat completion object."""
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
        # If usage is requested, all chunks but the last have it as null.
        tail = {'usage': None} if self._wants_usage else {}
        self._add({'choices': [choice]} | tail)

    def _add(self, part: dict[str, Any]) -> None:
        chunk = self._envelope('chat.completion.chunk') | part
        self.events.append(json.dumps(chunk, separators=(',', ':')))
        self._notify()

    def _envelope(self, kind: str) -> dict[str, Any]:
        return {
            'id': f'chatcmpl-{self.ident}',
            'object': kind,
            'created': self.created,
            'model': self.body.get('model', ''),
        }

    def _notify(self) -> None:
        # Waiters keep a reference to the old event, so it can be replaced.
        self._changed.set()
        self._changed = asyncio.Event()
