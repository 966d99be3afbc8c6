"""Bounds what the prompt of a chat completion can cost."""

import json
from collections.abc import Iterator
from typing import Any

import attrs

from balsamreach.gateway.refusals import Refusal, invalid_request

#: Tokens a chat template may add for each message.
MESSAGE_OVERHEAD = 16
#: Part types whose tokens have nothing to do with the bytes of their JSON.
MEDIA = frozenset(('image_url', 'input_audio', 'video_url', 'file'))
TEXTS = frozenset(('text', 'refusal'))

_BYTES_PER_TOKEN = 4
_PREFIX_LIMIT = 8192
_ROLES = ('assistant', 'developer', 'function', 'system', 'tool', 'user')
#: Keys that templates put before the messages.
_LEADING = frozenset(('functions', 'tools'))
#: Keys of a request that never become part of the prompt.
_OUTSIDE = frozenset(('messages', 'model', 'stream_options', 'metadata'))


@attrs.define
class Prompt:
    """A prompt as far as its cost and its affinity go.

    Parameters
    ----------
    size : int
        Bytes that may become text of the prompt.
    messages : int
        Number of messages.
    media : int
        Images, sounds and files.
    part_tokens : int
        Most tokens that one of them counts.
    prefix : bytes
        Leading part of the text.
    """

    part_tokens: int
    size: int = 0
    messages: int = 0
    media: int = 0
    prefix: bytes = b''

    @property
    def most_tokens(self) -> int:
        """Worst case: every token is at least one byte of the text."""
        overhead = MESSAGE_OVERHEAD * self.messages
        return self.size + overhead + self.media * self.part_tokens

    @property
    def likely_tokens(self) -> int:
        """Estimate of the tokens."""
        text = self.size // _BYTES_PER_TOKEN
        return max(1, text + self.media * self.part_tokens)

    def add(self, text: bytes, *, leads: bool = True) -> None:
        """Add text, to the prefix as well unless it is no part of that.

        A field such as ``user`` counts in the bound, but in the prefix it
        would send each user's requests elsewhere than an engine that has
        their common beginning in its cache.
        """
        self.size += len(text)
        if leads and len(self.prefix) < _PREFIX_LIMIT:
            self.prefix = (self.prefix + text)[:_PREFIX_LIMIT]


def measure_prompt(
    body: dict[str, Any],
    part_tokens: int,
) -> Prompt | Refusal:
    """Measure everything of a request that may reach its prompt.

    Parameters
    ----------
    body : dict
        The request; its messages are known to be objects.
    part_tokens : int
        Most tokens of one image, sound or file.

    Returns
    -------
    Prompt or Refusal
        Refused for a content whose tokens cannot be bounded.
    """
    prompt = Prompt(part_tokens)
    for name, field in sorted(body.items()):
        if name not in _OUTSIDE and isinstance(field, (dict, list, str)):
            prompt.add(_encode(field), leads=name in _LEADING)
    for message in body['messages']:
        prompt.messages += 1
        refusal = _add_message(prompt, message)
        if refusal is not None:
            return refusal
    return prompt


def _add_message(prompt: Prompt, message: dict[str, Any]) -> Refusal | None:
    for name, field in message.items():
        if name == 'content':
            continue
        if name != 'role' or field not in _ROLES:
            prompt.add(_encode(field))
    content = message.get('content')
    if not isinstance(content, (str, list, type(None))):
        return invalid_request('content must be a text or a list of parts')
    for part in _parts(content):
        refusal = _add_part(prompt, part)
        if refusal is not None:
            return refusal
    return None


def _parts(content: Any) -> Iterator[Any]:
    if isinstance(content, str):
        yield {'type': 'text', 'text': content}
    elif content:
        yield from content


def _add_part(prompt: Prompt, part: Any) -> Refusal | None:
    kind = part.get('type') if isinstance(part, dict) else None
    if not isinstance(kind, str):
        return invalid_request(
            'each part of a content must be an object with a type'
        )
    if kind in MEDIA:
        prompt.media += 1
        return None
    if kind not in TEXTS:
        return invalid_request(f'parts of type {kind!r} are not taken')
    text = part.get(kind)
    if not isinstance(text, str):
        return invalid_request(f'a part of type {kind!r} must have a text')
    prompt.add(text.encode('utf-8', 'surrogatepass'))
    return None


def _encode(field: Any) -> bytes:
    return json.dumps(field, ensure_ascii=False).encode(
        'utf-8', 'surrogatepass'
    )
