"""Prompts, replies and token counts of the stand-in engine."""

import hashlib
import re
from typing import Any

ChatBody = dict[str, Any]

_DEFAULT_WORDS = 16
_HUGE_TOKENS = 10**15
_WORDS_WANTED = re.compile(r'words=(\d+)')


def prompt_of(body: dict[str, Any]) -> str:
    """Return the text of all messages of a chat request, joined."""
    messages = body.get('messages') or ()
    return '\n'.join(_text_of(message) for message in messages)


def cached_text_of(body: ChatBody) -> str:
    """Return the text whose blocks the cache is named by."""
    messages = body.get('messages') or ()
    return ''.join(_text_of(message) for message in messages)


def _text_of(message: dict[str, Any]) -> str:
    content = message.get('content') or ''
    if isinstance(content, str):
        return content
    texts = (part.get('text', '') for part in content)
    return ' '.join(texts)


def words_of(prompt: str) -> list[str]:
    """Return the reply to a prompt, which names the prompt in each word."""
    wanted = _WORDS_WANTED.search(prompt)
    count = int(wanted.group(1)) if wanted else _DEFAULT_WORDS
    mark = hashlib.sha256(prompt.encode()).hexdigest()[:8]
    return [f'{mark}-{index}' for index in range(count)]


def reply_to(body: ChatBody, prompt: str) -> tuple[list[str], str]:
    """Return the words to send to a request and why they end there."""
    words = words_of(prompt)
    limit = body.get('max_completion_tokens') or body.get('max_tokens')
    if limit is None or limit >= len(words):
        return words, 'stop'
    return words[:limit], 'length'


def usage_of(mode: str, prompt: str, text: str) -> dict[str, int] | None:
    """Return the token counts as the usage mode has them."""
    if mode == 'missing':
        return None
    asked = max(1, len(prompt.split()))
    said = len(text.split())
    if mode == 'negative':
        asked, said = -asked, -said
    elif mode == 'huge':
        asked, said = _HUGE_TOKENS, _HUGE_TOKENS
    return {
        'prompt_tokens': asked,
        'completion_tokens': said,
        'total_tokens': asked + said,
    }
