"""A target's usage figures: the tokens it says that a request used."""

import json
from typing import Any

import attrs


@attrs.frozen
class Usage:
    """Tokens a target says a request used."""

    prompt: int
    completion: int

    @property
    def total(self) -> int:
        """Tokens to bill."""
        return self.prompt + self.completion


def read_usage(body: Any) -> Usage | None:
    """Return the usage figures of a chat completion or chunk.

    Parameters
    ----------
    body : object
        The JSON of the answer or event.

    Returns
    -------
    Usage or None
        None where figures are missing or are no whole numbers.
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
    """Return the JSON of a body or event, None where it is malformed."""
    try:
        return json.loads(text)
    except ValueError:
        return None
