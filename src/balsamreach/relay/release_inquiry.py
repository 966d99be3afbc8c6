"""Asks other routers which release began a stream."""

import asyncio
from collections.abc import Iterable, Mapping
from itertools import chain

import attrs

from balsamreach.peers.base import PeerNet
from balsamreach.wire.releases import ReleaseAsk, ReleaseTold

#: Bases of what a router knows of a stream's release.
RECORD = 'record'
ONLY = 'only'
_MS = 1000
#: Seconds to wait for the answers. A caller waits meanwhile; a router that is
#: up answers within milliseconds.
_TIMEOUT_S = 0.25
#: Seconds to wait for a record once a router knows of one release only. The
#: list of that router may lag behind that of the one with the record.
_RECORD_WAIT_S = 0.05


@attrs.frozen
class Origin:
    """The release that began a stream.

    Parameters
    ----------
    release : str
        The release.
    basis : str
        ``record`` if it is that of the stream, ``only`` if the service has had
        no other one.
    source : str
        Incarnation of the router that knows it; empty if it is this one.
    age : float
        Seconds since that router learnt it.
    """

    release: str
    basis: str
    source: str = ''
    age: float = 0


@attrs.define(eq=False)
class ReleaseInquiry:
    """One question to several routers.

    Parameters
    ----------
    net : PeerNet
        The other routers.
    ask : ReleaseAsk
        The question.
    answers : dict of str to ReleaseTold
        What was answered in time, by incarnation.
    """

    net: PeerNet
    ask: ReleaseAsk
    answers: dict[str, ReleaseTold] = attrs.field(factory=dict)

    async def run(self, routers: Iterable[str]) -> None:
        """Ask routers at the same time, until one has a record.

        Parameters
        ----------
        routers : iterable of str
            Their incarnations.
        """
        pending = {asyncio.ensure_future(self._ask(one)) for one in routers}
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + _TIMEOUT_S
        try:
            while pending and loop.time() < ends_at:
                _, pending = await asyncio.wait(
                    pending,
                    timeout=ends_at - loop.time(),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if self._has(RECORD):
                    return
                if self._has(ONLY):
                    ends_at = min(ends_at, loop.time() + _RECORD_WAIT_S)
        finally:
            for fut in pending:
                fut.cancel()

    async def _ask(self, router: str) -> None:
        answer = await self.net.ask(router, self.ask)
        if isinstance(answer, ReleaseTold):
            self.answers[router] = answer

    def _has(self, basis: str) -> bool:
        return any(one.basis == basis for one in self.answers.values())


def conclude(
    own: ReleaseTold, answers: Mapping[str, ReleaseTold]
) -> Origin | None:
    """Return the release that began a stream, None if it isn't certain.

    A record comes first, in whatever order the answers arrived. Without one, a
    release is certain only if a router remembers the whole life of the stream
    and nobody has seen another release. That nobody remembers another one
    proves nothing: all routers may have restarted.

    Parameters
    ----------
    own : ReleaseTold
        What this router knows.
    answers : mapping of str to ReleaseTold
        What other routers know, by incarnation.
    """
    known = {'': own, **answers}
    for source, one in known.items():
        if one.basis == RECORD:
            age = one.age_ms / _MS
            return Origin(one.release, RECORD, source, age)
    seen = set(chain.from_iterable(told.seen for told in known.values()))
    if len(seen) != 1:
        return None
    for source, one in known.items():
        # A router with an outdated list may have missed a release. It counts
        # only if it isn't cut off from all others.
        if one.basis == ONLY or (one.remembers and answers):
            return Origin(seen.pop(), ONLY, source)
    return None
