"""Durable claims that let a non-idempotent request run at most once."""

from typing import Any

import attrs

from balsamreach.platform.base import (
    ABSENT,
    Check,
    Commit,
    TableService,
    Write,
)
from balsamreach.platform.faults import CONFLICT, UNKNOWN, PlatformFault
from balsamreach.requests.faults import (
    KEY_REUSED,
    NO_CLAIM,
    OUTCOME_UNKNOWN,
    RequestFault,
)
from balsamreach.requests.identity import RequestId

CLAIM_PREFIX = 'claim/'
_ATTEMPTS = 4


@attrs.frozen
class Claim:
    """The right to dispatch a request, once.

    Parameters
    ----------
    req : RequestId
        The request.
    holder : str
        Incarnation that made the claim.
    attempt : str
        Identity of the one dispatch that the claim is for.
    """

    req: RequestId
    holder: str
    attempt: str


def claim_key(req: RequestId) -> str:
    """Return the table service's key of a request's claim."""
    return f'{CLAIM_PREFIX}{req.team}/{req.key}'


@attrs.define
class Claims:
    """Makes claims in the table service for one incarnation."""

    service: TableService
    holder: str

    async def claim(self, req: RequestId, attempt: str) -> Claim | RequestFault:
        """Claim a request before its single dispatch.

        Parameters
        ----------
        req : RequestId
            The request.
        attempt : str
            Identity of the dispatch, never used before.

        Returns
        -------
        Claim or RequestFault
            Only the holder of a Claim may dispatch. NO_CLAIM means that no
            claim of this attempt exists or will be acted on; OUTCOME_UNKNOWN
            that an earlier claim exists; KEY_REUSED that it was for another
            body.
        """
        key = claim_key(req)
        change = Commit(
            (Write(key, self._encode(req, attempt)),),
            (Check(key, ABSENT),),
        )
        outcome = await self.service.commit(change)
        for _ in range(_ATTEMPTS):
            if not isinstance(outcome, PlatformFault):
                return Claim(req, self.holder, attempt)
            if outcome not in {CONFLICT, UNKNOWN}:
                return NO_CLAIM.because(f'table service: {outcome.code}')
            # After a lost answer only the row says who holds the claim. A
            # second insert is safe: it has the same condition, and the row
            # names the attempt, so both cannot be taken for two claims.
            found = await self._holder(req, attempt)
            if found is not None:
                return found
            outcome = await self.service.commit(change)
        return NO_CLAIM.because('the claim could not be confirmed')

    async def _holder(
        self,
        req: RequestId,
        attempt: str,
    ) -> Claim | RequestFault | None:
        rows = await self.service.read((claim_key(req),))
        if isinstance(rows, PlatformFault):
            return NO_CLAIM.because(f'table service: {rows.code}')
        stored = rows[0].value
        if stored is None:
            return None
        if stored['attempt'] == attempt:
            return Claim(req, self.holder, attempt)
        if stored['fingerprint'] != req.fingerprint:
            return KEY_REUSED.because('the key was claimed for another body')
        return OUTCOME_UNKNOWN.because('the request was dispatched before')

    def _encode(self, req: RequestId, attempt: str) -> dict[str, Any]:
        return {
            'holder': self.holder,
            'attempt': attempt,
            'fingerprint': req.fingerprint,
        }
