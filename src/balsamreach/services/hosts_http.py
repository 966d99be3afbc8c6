"""HTTP clients of the host list and the weight store."""

import attrs

from balsamreach.services.base import HostEntry, HostList, WeightStore
from balsamreach.services.faults import UNKNOWN, PlatformFault
from balsamreach.services.http import Call, PlatformClient, json_call


@attrs.frozen
class HttpHostList(HostList):
    """HTTP client of the host list."""

    client: PlatformClient

    async def hosts(self) -> tuple[HostEntry, ...] | PlatformFault:
        """Return the hosts in the list, which may lag."""
        answer = await self.client.send_json(Call('GET', '/hosts'))
        if isinstance(answer, PlatformFault):
            return answer
        try:
            return tuple(HostEntry(**host) for host in answer['hosts'])
        except (KeyError, TypeError):
            return UNKNOWN.because('the answer is not a list of hosts')

    async def power(
        self,
        address: str,
        *,
        on: bool,
        fence: int,
    ) -> PlatformFault | None:
        """Order a host to be switched on or off, with a fencing number."""
        body = {'address': address, 'on': on, 'fence': fence}
        call = json_call('/hosts/power', body, writes=True)
        outcome = await self.client.send(call)
        return outcome if isinstance(outcome, PlatformFault) else None


@attrs.frozen
class HttpWeightStore(WeightStore):
    """HTTP client of the weight store."""

    client: PlatformClient

    async def reserve(self, model: str) -> float | PlatformFault:
        """Reserve a load; return the seconds to wait before it."""
        body = {'model': model}
        call = json_call('/weights/reserve', body, writes=True)
        answer = await self.client.send_json(call)
        if isinstance(answer, PlatformFault):
            return answer
        try:
            return float(answer['wait_s'])
        except (KeyError, TypeError, ValueError):
            return UNKNOWN.because('the answer has no valid wait_s')
