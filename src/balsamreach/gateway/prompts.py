"""Upper bound and estimate of a chat completion's prompt tokens."""

import json
from collections.abc import Iterator
from typing import Any

import attrs

from balsamreach.gateway.refusals import Refusal, invalid_request

#: Maximum tokens that a chat template adds per message.
MESSAGE_OVERHEAD_TOKENS = 16
#: Part types whose token count does not depend on the size of their JSON.
MEDIA_TYPES = frozenset(('image_url', 'input_audio', 'video_url', 'file'))
TEXT_TYPES = frozenset(('text', 'refusal'))

_BYTES_PER_TOKEN = 4
_MAX_PREFIX_BYTES = 8192
_ROLES = ('assistant', 'developer', 'function', 'system', 'tool', 'user')
#: Keys that chat templates put before the messages.
_PREFIX_KEYS = frozenset(('functions', 'tools'))
#: Keys that are skipped: the messages are measured separately, and the others
#: never become part of the prompt.
_SKIPPED_KEYS = frozenset(('messages', 'model', 'stream_options', 'metadata'))


@attrs.define
class Prompt:
    """Size of a prompt, and its prefix for cache affinity.

    Parameters
    ----------
    part_tokens : int
        Maximum tokens of one media part.
    size : int
        Bytes that may become text of the prompt.
    messages : int
        Number of messages.
    media : int
        Number of media parts: images, videos, audio and files.
    prefix : bytes
        Leading bytes of the text.
    """

    part_tokens: int
    size: int = 0
    messages: int = 0
    media: int = 0
    prefix: bytes = b''

    @property
    def max_tokens(self) -> int:
        """Maximum tokens: each token of text has at least one byte."""
        overhead = MESSAGE_OVERHEAD_TOKENS * self.messages
        return self.size + overhead + self.media * self.part_tokens

    @property
    def estimated_tokens(self) -> int:
        """Estimated tokens, at least 1."""
        text = self.size // _BYTES_PER_TOKEN
        return max(1, text + self.media * self.part_tokens)

    def add(self, text: bytes, *, in_prefix: bool = True) -> None:
        """Add text to the size, and to the prefix if ``in_prefix`` is true.

        A field such as ``user`` counts in the maximum. In the prefix it
        would route the requests of different users to different engines,
        away from the one that has their common beginning in its cache.
        """
        self.size += len(text)
        if in_prefix and len(self.prefix) < _MAX_PREFIX_BYTES:
            self.prefix = (self.prefix + text)[:_MAX_PREFIX_BYTES]


def measure_prompt(
    body: dict[str, Any],
    part_tokens: int,
) -> Prompt | Refusal:
    """Measure all parts of a request that may become part of the prompt.

    Parameters
    ----------
    body : dict
        The request, whose messages are already checked to be objects.
    part_tokens : int
        Maximum tokens of one media part.

    Returns
    -------
    Prompt or Refusal
        A refusal for content whose tokens have no known maximum.
    """
    prompt = Prompt(part_tokens)
    for name, field in sorted(body.items()):
        if name not in _SKIPPED_KEYS and isinstance(field, (dict, list, str)):
            prompt.add(_encode(field), in_prefix=name in _PREFIX_KEYS)
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
            'each part of content must be an object with a type'
        )
    if kind in MEDIA_TYPES:
        prompt.media += 1
        return None
    if kind not in TEXT_TYPES:
        return invalid_request(f'parts of type {kind!r} are not taken')
    text = part.get(kind)
    if not isinstance(text, str):
        return invalid_request(f'a part of type {kind!r} must contain a text')
    prompt.add(text.encode('utf-8', 'surrogatepass'))
    return None


def _encode(field: Any) -> bytes:
    return json.dumps(field, ensure_ascii=False).encode(
        'utf-8', 'surrogatepass'
    )
