"""Bytes that wait to be written to one connection."""

import asyncio

import attrs

#: Most bytes that wait; what comes on top is dropped.
MOST_WAITING = 4 * 1024 * 1024


@attrs.define(eq=False)
class Outbox:
    """A bounded queue of frames with one reader.

    A peer that reads slowly, or not at all, would otherwise fill this
    router's memory. It shows as a growing counter of dropped messages.
    """

    most: int = MOST_WAITING
    size: int = 0
    _frames: list[bytes] = attrs.field(factory=list)
    _filled: asyncio.Event = attrs.field(factory=asyncio.Event)

    def put(self, octets: bytes) -> bool:
        """Queue a frame; False if there is no room."""
        size = self.size + len(octets)
        if size > self.most:
            return False
        self.size = size
        self._frames.append(octets)
        self._filled.set()
        return True

    async def take(self) -> bytes:
        """Return all waiting frames in one piece, at least one."""
        await self._filled.wait()
        octets = b''.join(self._frames)
        self._frames.clear()
        self._filled.clear()
        self.size = 0
        return octets
