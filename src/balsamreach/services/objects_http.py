"""Object store spoken to over HTTP."""

from urllib.parse import quote, urlencode

import attrs

from balsamreach.services.base import ObjectStore
from balsamreach.services.faults import MISSING, UNKNOWN, PlatformFault
from balsamreach.services.http import Call, PlatformClient


@attrs.frozen
class HttpObjectStore(ObjectStore):
    """Object store at a base address."""

    client: PlatformClient

    async def put(self, name: str, body: bytes) -> PlatformFault | None:
        """Store an object, replacing the one of the same name."""
        outcome = await self.client.send(
            Call('PUT', _path(name), body, writes=True)
        )
        return _done(outcome)

    async def get(self, name: str) -> bytes | PlatformFault:
        """Return an object, or MISSING."""
        return await self.client.send(Call('GET', _path(name)))

    async def names(self, prefix: str) -> tuple[str, ...] | PlatformFault:
        """Return the names under a prefix in order."""
        query = urlencode({'prefix': prefix})
        answer = await self.client.send_json(Call('GET', f'/objects?{query}'))
        if isinstance(answer, PlatformFault):
            return answer
        try:
            return tuple(answer['names'])
        except (KeyError, TypeError):
            return UNKNOWN.because('the answer has no names')

    async def delete(self, name: str) -> PlatformFault | None:
        """Remove an object; one that is gone already counts as removed."""
        outcome = await self.client.send(
            Call('DELETE', _path(name), writes=True)
        )
        fault = _done(outcome)
        return None if fault == MISSING else fault


def _path(name: str) -> str:
    quoted = quote(name)
    return f'/objects/{quoted}'


def _done(outcome: bytes | PlatformFault) -> PlatformFault | None:
    return outcome if isinstance(outcome, PlatformFault) else None
