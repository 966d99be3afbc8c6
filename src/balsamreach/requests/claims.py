"""Durable claims that let a non-idempotent request run at most once.

A claim is inserted before the single dispatch and never lapses, so no pause
of its holder and no clock can make a second one possible. Its end is the
request's bill, which has the same team and key.
"""

from collections import OrderedDict
from typing import Any

import attrs

from balsamreach.clock import Clock
from balsamreach.requests.faults import KEY_REUSED, NO_CLAIM, RequestFault
from balsamreach.requests.identity import RequestId
from balsamreach.services.base import (
    ABSENT,
    Check,
    Commit,
    Row,
    TableService,
    Write,
)
from balsamreach.services.faults import CONFLICT, UNKNOWN, PlatformFault
from balsamreach.telemetry.metrics import Metrics

CLAIM_PREFIX = 'claim/'
CLAIMS = 'balsamreach_claims_total'
_ATTEMPTS = 4
#: Claims whose release is remembered until it took effect.
_MOST_RELEASES = 10000


@attrs.frozen
class Claim:
    """The right to dispatch a request, once.

    Parameters
    ----------
    req : RequestId
        The request.
    attempt : str
        Identity of the run that the claim is for.
    """

    req: RequestId
    attempt: str


@attrs.frozen
class Held:
    """A claim that is another run's, so that this one may not dispatch.

    Parameters
    ----------
    holder : str
        Incarnation of the router that made the claim.
    """

    holder: str


def claim_key(req: RequestId) -> str:
    """Return the table service's key of a request's claim."""
    return f'{CLAIM_PREFIX}{req.team}/{req.key}'


@attrs.define
class Claims:
    """Makes claims in the table service for one incarnation.

    Parameters
    ----------
    service : TableService
        Where claims are kept.
    holder : str
        This incarnation.
    clock : Clock
        Time of the claim, for people.
    metrics : Metrics
        Counts claims by how they came out.
    """

    service: TableService
    holder: str
    clock: Clock
    metrics: Metrics = attrs.field(factory=Metrics)
    _given_up: OrderedDict[str, Claim] = attrs.field(factory=OrderedDict)

    async def claim(
        self,
        req: RequestId,
        attempt: str,
    ) -> Claim | Held | RequestFault:
        """Claim a request before its single dispatch.

        Parameters
        ----------
        req : RequestId
            The request.
        attempt : str
            Identity of the run, never used before.

        Returns
        -------
        Claim, Held or RequestFault
            Only with a Claim may the request be dispatched. NO_CLAIM means
            that no claim of this run will be acted on; KEY_REUSED that the
            key was claimed for another body.
        """
        outcome = await self._claim(req, attempt)
        self.metrics.count(CLAIMS, outcome=_label(outcome))
        if outcome == NO_CLAIM:
            # An insert without an answer may have taken effect, or may yet.
            self.give_up(Claim(req, attempt))
        return outcome

    def give_up(self, claim: Claim) -> None:
        """Release a claim whose request was certainly not dispatched.

        The caller has been or will be told that the request did not run,
        and may send it again under its key. Only the run that made the claim
        may call this, after its last attempt was closed to sending: from
        then on nobody is left who could still dispatch under the claim.
        """
        self._given_up[claim.attempt] = claim
        while len(self._given_up) > _MOST_RELEASES:
            self._given_up.popitem(last=False)

    async def release_all(self) -> None:
        """Try once to release every claim that was given up."""
        for claim in tuple(self._given_up.values()):
            outcome = await self._release(claim)
            if isinstance(outcome, PlatformFault):
                return
            self._given_up.pop(claim.attempt, None)
            self.metrics.count(CLAIMS, outcome='released')

    async def _claim(
        self,
        req: RequestId,
        attempt: str,
    ) -> Claim | Held | RequestFault:
        version = ABSENT
        for _ in range(_ATTEMPTS):
            outcome = await self._insert(req, attempt, version)
            if not isinstance(outcome, PlatformFault):
                return Claim(req, attempt)
            if outcome not in {CONFLICT, UNKNOWN}:
                return NO_CLAIM.because(f'table service: {outcome.code}')
            # After a lost answer only the row says who holds the claim. A
            # second insert is safe: it has the same condition, and the row
            # names the attempt, so both cannot be taken for two claims.
            row = await self._read(req)
            if isinstance(row, PlatformFault):
                return NO_CLAIM.because(f'table service: {row.code}')
            found = self._judge(req, attempt, row)
            if found is not None:
                return found
            version = ABSENT if row.value is None else row.version
        return NO_CLAIM.because('the claim could not be confirmed')

    def _judge(
        self,
        req: RequestId,
        attempt: str,
        row: Row,
    ) -> Claim | Held | RequestFault | None:
        stored = row.value
        # A claim that this router gave up was never acted on: where its
        # release has not taken effect yet, a new one takes its place.
        if stored is None or stored['attempt'] in self._given_up:
            return None
        if stored['attempt'] == attempt:
            return Claim(req, attempt)
        if stored['fingerprint'] != req.fingerprint:
            return KEY_REUSED.because('the key was claimed for another body')
        return Held(stored['holder'])

    async def _insert(
        self,
        req: RequestId,
        attempt: str,
        version: int,
    ) -> int | PlatformFault:
        key = claim_key(req)
        return await self.service.commit(
            Commit(
                (Write(key, self._encode(req, attempt)),),
                (Check(key, version),),
            ),
        )

    async def _read(self, req: RequestId) -> Row | PlatformFault:
        rows = await self.service.read((claim_key(req),))
        return rows if isinstance(rows, PlatformFault) else rows[0]

    async def _release(self, claim: Claim) -> PlatformFault | None:
        row = await self._read(claim.req)
        if isinstance(row, PlatformFault):
            return row
        if row.value is None or row.value['attempt'] != claim.attempt:
            return None
        # The condition keeps a release that is late from taking away the
        # claim of a later run.
        outcome = await self.service.commit(
            Commit((Write(row.key, None),), (Check(row.key, row.version),)),
        )
        return outcome if isinstance(outcome, PlatformFault) else None

    def _encode(self, req: RequestId, attempt: str) -> dict[str, Any]:
        return {
            'holder': self.holder,
            'attempt': attempt,
            'fingerprint': req.fingerprint,
            'at': self.clock.wall(),
        }


def _label(outcome: Claim | Held | RequestFault) -> str:
    if isinstance(outcome, RequestFault):
        return outcome.code
    return 'made' if isinstance(outcome, Claim) else 'held'
