"""Token usage as reported by targets."""

import json
from typing import Any

import attrs


@attrs.frozen
class Usage:
    """Tokens that a target reports for a request."""

    prompt: int
    completion: int

    @property
    def total(self) -> int:
        """Total tokens to bill."""
        return self.prompt + self.completion


def read_usage(body: Any) -> Usage | None:
    """Return the usage reported in a chat completion or chunk.

    Parameters
    ----------
    body : object
        Parsed JSON of the answer or event.

    Returns
    -------
    Usage or None
        None if figures are missing or not integers.
    """
    usage = body.get('usage') if isinstance(body, dict) else None
    if not isinstance(usage, dict):
        return None
    prompt = usage.get('prompt_tokens')
    completion = usage.get('completion_tokens')
    if isinstance(prompt, int) and isinstance(completion, int):
        return Usage(prompt, completion)
    return None


def read_json(text: bytes) -> Any:
    """Parse the JSON of a body or event; None if it is malformed."""
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        return None
