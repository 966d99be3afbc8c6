"""Prompts as lists of parts, and an estimate of the parts engines cache."""

from collections import OrderedDict
from collections.abc import Iterable

import attrs

#: Share of an engine's cache that is assumed to hold prompt parts; the rest
#: is in use by running requests.
_PARTS_SHARE = 0.7


@attrs.frozen
class Part:
    """A part of a prompt that requests may share.

    Parameters
    ----------
    part_id : str
        Identity of the part; equal texts have equal ids.
    tokens : int
        Length of the part.
    """

    part_id: str
    tokens: int


@attrs.frozen(kw_only=True)
class Prompt:
    """What an engine has to process and generate for a request.

    Parameters
    ----------
    model : str
        Requested model.
    tokens : int
        Tokens of the prompt.
    max_output_tokens : int
        Maximum number of generated tokens.
    parts : tuple of Part
        Parts in the order of the prompt; the last one is the request's own.
    """

    model: str
    tokens: int
    max_output_tokens: int
    parts: tuple[Part, ...] = ()

    @property
    def shared(self) -> tuple[Part, ...]:
        """Parts that other requests may have as well."""
        return self.parts[:-1]

    @property
    def max_tokens(self) -> int:
        """Maximum number of tokens that the request uses."""
        return self.tokens + self.max_output_tokens


@attrs.define
class CacheEstimate:
    """Parts that this router has sent to one engine, the newest last.

    It is only an estimate: the engine evicts what was used least recently
    once its cache is full, and other routers send requests there as well.

    Parameters
    ----------
    capacity : int
        Tokens that the engine's cache holds.
    """

    capacity: int
    _parts: OrderedDict[str, int] = attrs.field(factory=OrderedDict)
    _tokens: int = 0

    def cached_tokens(self, parts: Iterable[Part]) -> int:
        """Return the tokens of the leading parts that were sent before."""
        tokens = 0
        for part in parts:
            if part.part_id not in self._parts:
                break
            tokens += part.tokens
        return tokens

    def add(self, parts: Iterable[Part]) -> None:
        """Record that parts were sent to the engine."""
        for part in parts:
            self._tokens -= self._parts.pop(part.part_id, 0)
            self._parts[part.part_id] = part.tokens
            self._tokens += part.tokens
        while self._tokens > self.capacity * _PARTS_SHARE and self._parts:
            self._tokens -= self._parts.popitem(last=False)[1]
