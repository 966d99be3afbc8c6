"""Opens TCP connections to targets, to see whether they can be reached."""

import asyncio

from balsamreach.placement.access_checks import TargetConnector


class TcpConnector(TargetConnector):
    """Connects by TCP."""

    async def connect(self, address: str, max_seconds: float) -> bool:
        """Connect to a target, and close the connection at once."""
        host, _colon, port = address.rpartition(':')
        try:
            async with asyncio.timeout(max_seconds):
                _reader, writer = await asyncio.open_connection(host, port)
        except (OSError, OverflowError):
            # A port beyond the range overflows before anything is sent.
            return False
        writer.close()
        return True
