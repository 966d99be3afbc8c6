"""Queue of bytes to be written to one connection."""

import asyncio

import attrs

#: Maximum number of queued bytes; further frames are dropped.
MAX_QUEUED_BYTES = 4 * 1024 * 1024


@attrs.define(eq=False)
class Outbox:
    """A bounded queue of frames with one reader.

    A peer that reads slowly, or not at all, would otherwise fill this router's
    memory. A counter of dropped messages shows that it happens.
    """

    max_bytes: int = MAX_QUEUED_BYTES
    queued_bytes: int = 0
    _frames: list[bytes] = attrs.field(factory=list)
    _filled: asyncio.Event = attrs.field(factory=asyncio.Event)

    def put(self, octets: bytes) -> bool:
        """Queue a frame; False if the queue is full."""
        size = self.queued_bytes + len(octets)
        if size > self.max_bytes:
            return False
        self.queued_bytes = size
        self._frames.append(octets)
        self._filled.set()
        return True

    async def get(self) -> bytes:
        """Wait for frames and return all queued ones joined together."""
        await self._filled.wait()
        octets = b''.join(self._frames)
        self._frames.clear()
        self._filled.clear()
        self.queued_bytes = 0
        return octets
