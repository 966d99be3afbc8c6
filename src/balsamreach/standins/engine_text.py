"""Prompts, replies and token counts of the simulated engine."""

import hashlib
import re
from typing import Any

ChatBody = dict[str, Any]

_DEFAULT_WORDS = 16
_HUGE_TOKENS = 10**15
_WORD_COUNT = re.compile(r'words=(\d+)')


def prompt_of(body: dict[str, Any]) -> str:
    """Return the text of all messages, joined by newlines."""
    messages = body.get('messages') or ()
    return '\n'.join(_text_of(message) for message in messages)


def cached_text_of(body: ChatBody) -> str:
    """Return the text from which the cache blocks are computed."""
    messages = body.get('messages') or ()
    return ''.join(_text_of(message) for message in messages)


def _text_of(message: dict[str, Any]) -> str:
    content = message.get('content') or ''
    if isinstance(content, str):
        return content
    texts = (part.get('text', '') for part in content)
    return ' '.join(texts)


def words_of(prompt: str) -> list[str]:
    """Return the words of the reply; each contains a hash of the prompt."""
    match = _WORD_COUNT.search(prompt)
    count = int(match.group(1)) if match else _DEFAULT_WORDS
    prompt_hash = hashlib.sha256(prompt.encode()).hexdigest()[:8]
    return [f'{prompt_hash}-{index}' for index in range(count)]


def reply_to(body: ChatBody, prompt: str) -> tuple[list[str], str]:
    """Return the words of the reply and the finish reason."""
    words = words_of(prompt)
    limit = body.get('max_completion_tokens') or body.get('max_tokens')
    if limit is None or limit >= len(words):
        return words, 'stop'
    return words[:limit], 'length'


def usage_of(mode: str, prompt: str, text: str) -> dict[str, int] | None:
    """Return the token counts for a usage mode, None if missing."""
    if mode == 'missing':
        return None
    prompt_tokens = max(1, len(prompt.split()))
    completion_tokens = len(text.split())
    if mode == 'negative':
        prompt_tokens, completion_tokens = -prompt_tokens, -completion_tokens
    elif mode == 'huge':
        prompt_tokens, completion_tokens = _HUGE_TOKENS, _HUGE_TOKENS
    return {
        'prompt_tokens': prompt_tokens,
        'completion_tokens': completion_tokens,
        'total_tokens': prompt_tokens + completion_tokens,
    }
