"""Prompts as lists of parts, and which target has read which part."""

from collections import OrderedDict
from collections.abc import Iterable

import attrs

#: Share of an engine's memory that is taken to hold parts; the rest is in
#: use by requests that run.
_CACHE_SHARE = 0.7


@attrs.frozen
class Part:
    """A part of a prompt that requests may share.

    Parameters
    ----------
    part_id : str
        Its identity: the same text has the same one.
    tokens : int
        Its length.
    """

    part_id: str
    tokens: int


@attrs.frozen(kw_only=True)
class Prompt:
    """What a request asks an engine to read and generate.

    Parameters
    ----------
    model : str
        Model asked for.
    tokens : int
        Tokens of the prompt.
    most_output : int
        Most tokens that are generated.
    parts : tuple of Part
        Parts in the order of the prompt; the last one is the request's own.
    """

    model: str
    tokens: int
    most_output: int
    parts: tuple[Part, ...] = ()

    @property
    def shared(self) -> tuple[Part, ...]:
        """Parts that other requests may have as well."""
        return self.parts[:-1]

    @property
    def most_tokens(self) -> int:
        """Tokens that the request uses at most."""
        return self.tokens + self.most_output


@attrs.define
class CacheMemory:
    """Parts that this router has sent to one engine, the newest last.

    It is a guess: the engine drops what was used least recently once its
    memory is full, and other routers send there as well.

    Parameters
    ----------
    capacity : int
        Tokens that the engine's memory holds.
    """

    capacity: int
    _parts: OrderedDict[str, int] = attrs.field(factory=OrderedDict)
    _tokens: int = 0

    def held(self, parts: Iterable[Part]) -> int:
        """Return the tokens of the leading parts that were sent before."""
        tokens = 0
        for part in parts:
            if part.part_id not in self._parts:
                break
            tokens += part.tokens
        return tokens

    def note(self, parts: Iterable[Part]) -> None:
        """Take note that parts are read there now."""
        for part in parts:
            self._tokens -= self._parts.pop(part.part_id, 0)
            self._parts[part.part_id] = part.tokens
            self._tokens += part.tokens
        while self._tokens > self.capacity * _CACHE_SHARE and self._parts:
            self._tokens -= self._parts.popitem(last=False)[1]
