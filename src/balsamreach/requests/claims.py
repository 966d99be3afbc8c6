"""Durable claims that let a non-idempotent request run at most once.

A claim is inserted before the only dispatch and never expires, so neither a
pause of its holder nor a wrong clock can cause a second one. It is closed by
the request's bill, which has the same team and key.
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
_MAX_INSERTS = 4
#: Maximum number of releases remembered until they take effect.
_MAX_PENDING_RELEASES = 10000


@attrs.frozen
class Claim:
    """The right to dispatch a request once.

    Parameters
    ----------
    req : RequestId
        The request.
    run_id : str
        Identifier of the run that holds the claim.
    """

    req: RequestId
    run_id: str


@attrs.frozen
class HeldClaim:
    """A claim of another run; this one must not dispatch the request.

    Parameters
    ----------
    holder : str
        Incarnation of the router that made the claim.
    """

    holder: str


def claim_key(req: RequestId) -> str:
    """Return the key of a request's claim in the table service."""
    return f'{CLAIM_PREFIX}{req.team}/{req.key}'


@attrs.define
class Claims:
    """Makes and releases the claims of one router incarnation.

    Parameters
    ----------
    service : TableService
        Stores the claims.
    holder : str
        This incarnation.
    clock : Clock
        Clock of the claim's timestamp, which is only informational.
    metrics : Metrics
        Counts claims by outcome.
    """

    service: TableService
    holder: str
    clock: Clock
    metrics: Metrics = attrs.field(factory=Metrics)
    _pending_releases: OrderedDict[str, Claim] = attrs.field(
        factory=OrderedDict
    )

    async def claim(
        self,
        req: RequestId,
        run_id: str,
    ) -> Claim | HeldClaim | RequestFault:
        """Claim a request before its only dispatch.

        Parameters
        ----------
        req : RequestId
            The request.
        run_id : str
            Identifier of the run, never used before.

        Returns
        -------
        Claim, HeldClaim or RequestFault
            The request may only be dispatched with a Claim. NO_CLAIM means
            that no claim of this run will be used; KEY_REUSED that the key was
            claimed for another body.
        """
        outcome = await self._claim(req, run_id)
        self.metrics.count(CLAIMS, outcome=_outcome_label(outcome))
        if outcome == NO_CLAIM:
            # An insert without an answer may have taken effect, or may later.
            self.schedule_release(Claim(req, run_id))
        return outcome

    def schedule_release(self, claim: Claim) -> None:
        """Release a claim whose request was certainly not dispatched.

        The caller is told that the request did not run and may send it again
        under its key. Only the run that made the claim may call this, after
        its last attempt can no longer send: then nobody can dispatch under the
        claim any more.
        """
        self._pending_releases[claim.run_id] = claim
        while len(self._pending_releases) > _MAX_PENDING_RELEASES:
            self._pending_releases.popitem(last=False)

    async def release_all(self) -> None:
        """Try once to release every claim scheduled for release."""
        for claim in tuple(self._pending_releases.values()):
            outcome = await self._release(claim)
            if isinstance(outcome, PlatformFault):
                return
            self._pending_releases.pop(claim.run_id, None)
            self.metrics.count(CLAIMS, outcome='released')

    async def _claim(
        self,
        req: RequestId,
        run_id: str,
    ) -> Claim | HeldClaim | RequestFault:
        version = ABSENT
        for _ in range(_MAX_INSERTS):
            outcome = await self._insert(req, run_id, version)
            if not isinstance(outcome, PlatformFault):
                return Claim(req, run_id)
            if outcome not in {CONFLICT, UNKNOWN}:
                return NO_CLAIM.because(f'table service: {outcome.code}')
            # After a lost answer only the row shows who holds the claim. A
            # second insert is safe: it has the same condition, and the row
            # names the run, so the two can't count as two claims.
            row = await self._read(req)
            if isinstance(row, PlatformFault):
                return NO_CLAIM.because(f'table service: {row.code}')
            found = self._check_row(req, run_id, row)
            if found is not None:
                return found
            version = ABSENT if row.value is None else row.version
        return NO_CLAIM.because('the claim could not be confirmed')

    def _check_row(
        self,
        req: RequestId,
        run_id: str,
        row: Row,
    ) -> Claim | HeldClaim | RequestFault | None:
        stored = row.value
        # A claim scheduled for release was never used: if the release has not
        # taken effect yet, a new claim replaces it.
        if stored is None or stored['attempt'] in self._pending_releases:
            return None
        if stored['attempt'] == run_id:
            return Claim(req, run_id)
        if stored['fingerprint'] != req.fingerprint:
            return KEY_REUSED.because('the key was claimed for another body')
        return HeldClaim(stored['holder'])

    async def _insert(
        self,
        req: RequestId,
        run_id: str,
        version: int,
    ) -> int | PlatformFault:
        key = claim_key(req)
        return await self.service.commit(
            Commit(
                (Write(key, self._make_value(req, run_id)),),
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
        if row.value is None or row.value['attempt'] != claim.run_id:
            return None
        # The condition keeps a late release from deleting the claim of a later
        # run.
        outcome = await self.service.commit(
            Commit((Write(row.key, None),), (Check(row.key, row.version),)),
        )
        return outcome if isinstance(outcome, PlatformFault) else None

    def _make_value(self, req: RequestId, run_id: str) -> dict[str, Any]:
        return {
            'holder': self.holder,
            'attempt': run_id,
            'fingerprint': req.fingerprint,
            'at': self.clock.wall(),
        }


def _outcome_label(outcome: Claim | HeldClaim | RequestFault) -> str:
    if isinstance(outcome, RequestFault):
        return outcome.code
    return 'made' if isinstance(outcome, Claim) else 'held'
