"""HTTP client of the object store."""

from urllib.parse import quote, urlencode

import attrs

from balsamreach.services.base import ObjectStore
from balsamreach.services.faults import MISSING, UNKNOWN, PlatformFault
from balsamreach.services.http import Call, PlatformClient


@attrs.frozen
class HttpObjectStore(ObjectStore):
    """HTTP client of the object store."""

    client: PlatformClient

    async def put(self, name: str, body: bytes) -> PlatformFault | None:
        """Store an object, replacing one of the same name."""
        outcome = await self.client.send(
            Call('PUT', _path(name), body, writes=True)
        )
        return _fault_or_none(outcome)

    async def get(self, name: str) -> bytes | PlatformFault:
        """Return an object, or MISSING."""
        return await self.client.send(Call('GET', _path(name)))

    async def names(self, prefix: str) -> tuple[str, ...] | PlatformFault:
        """Return the sorted names that start with a prefix."""
        query = urlencode({'prefix': prefix})
        answer = await self.client.send_json(Call('GET', f'/objects?{query}'))
        if isinstance(answer, PlatformFault):
            return answer
        try:
            return tuple(answer['names'])
        except (KeyError, TypeError):
            return UNKNOWN.because('the answer has no names')

    async def delete(self, name: str) -> PlatformFault | None:
        """Delete an object; no fault if it does not exist."""
        outcome = await self.client.send(
            Call('DELETE', _path(name), writes=True)
        )
        fault = _fault_or_none(outcome)
        return None if fault == MISSING else fault


def _path(name: str) -> str:
    quoted = quote(name)
    return f'/objects/{quoted}'


def _fault_or_none(outcome: bytes | PlatformFault) -> PlatformFault | None:
    return outcome if isinstance(outcome, PlatformFault) else None
