"""Decides which streams have a backup engine, and when it continues them.

Load pattern: engines crash while they generate streams that can't be resumed.
A backup engine receives a copy of the request's KV cache as it grows, and can
continue the stream after the last event that was forwarded.
"""

import random
from collections.abc import Iterable

import attrs

from balsamreach.catalogue.entries import EngineTraits
from balsamreach.dispatch.upstream import UpstreamFault
from balsamreach.placement.relay_targets import RelayTarget
from balsamreach.relay.call import RelayCall
from balsamreach.relay.chooser import Chooser
from balsamreach.relay.codec import CacheCopy
from balsamreach.relay.retry_budget import RelayRetryBudget


def allows_backup(
    call: RelayCall, traits: EngineTraits, max_tokens: int
) -> bool:
    """Return whether a request gets a backup engine.

    Parameters
    ----------
    call : RelayCall
        The request.
    traits : EngineTraits
        Properties of its service's engines.
    max_tokens : int
        Maximum tokens of its prompt; 0 if no request gets a backup.
    """
    # A resumable stream continues at any engine without a copy.
    if not call.route.streams or call.repeatable or call.prompt is None:
        return False
    return traits.backups and 0 < call.prompt.tokens <= max_tokens


def choose_backup(
    first: RelayTarget,
    candidates: Iterable[RelayTarget],
    rng: random.Random,
) -> RelayTarget | None:
    """Return the engine that holds the copy, None if there is none.

    Parameters
    ----------
    first : RelayTarget
        Engine that runs the request.
    candidates : iterable of RelayTarget
        Engines that may hold the copy.
    rng : random.Random
        Breaks ties, so that routers with the same data don't all send their
        copies to the same engine.
    """
    zone = first.entry.zone
    others = [place for place in candidates if place is not first]
    return min(
        others,
        key=lambda place: (
            # A failure of the zone must not affect both engines.
            place.entry.zone == zone,
            place.busy,
            place.queued,
            rng.random(),
        ),
        default=None,
    )


@attrs.define(eq=False)
class StreamBackup:
    """The backup engine of one request, if it has one.

    Parameters
    ----------
    call : RelayCall
        The request.
    chooser : Chooser
        Knows the engines.
    retry_budget : RelayRetryBudget
        Counts the continuation as a retry.
    max_tokens : int
        Maximum tokens of a prompt whose stream gets a backup; 0 for none.
    engine : RelayTarget or None
        Engine that holds the copy; None if no attempt has one.
    used : bool
        Whether the request was sent to it to be continued.
    """

    call: RelayCall
    chooser: Chooser
    retry_budget: RelayRetryBudget
    max_tokens: int
    engine: RelayTarget | None = None
    used: bool = False
    _first: RelayTarget | None = None
    _begins_after: int = -1

    @property
    def copy(self) -> CacheCopy | None:
        """What the next attempt tells its engine about the copy."""
        if self.engine is None:
            return None
        return CacheCopy(self.engine.entry.address, self.used)

    def prepare_attempt(self, place: RelayTarget, last_id: int) -> None:
        """Choose the backup engine before an attempt, if it gets one.

        Only the first attempt does. A later one is a retry in an overloaded
        or failing service, to which copies would add load.

        Parameters
        ----------
        place : RelayTarget
            Engine that the attempt is sent to.
        last_id : int
            Id of the event after which its stream begins, -1 for all of it.
        """
        if self.used:
            return
        is_first = self._first is None
        self._first = place
        self._begins_after = last_id
        self.engine = self._choose(place) if is_first else None

    def take(
        self, end: UpstreamFault | None, last_id: int
    ) -> RelayTarget | None:
        """Return the engine that continues an attempt, None if none may.

        It is returned once, and counted as a retry.

        Parameters
        ----------
        end : UpstreamFault or None
            Why the exchange failed; None if it ended normally.
        last_id : int
            Id of the last event that the caller has, -1 for none.
        """
        if not self._may_continue(end, last_id):
            return None
        if not self.retry_budget.allow_retry(self.call.service):
            return None
        self.used = True
        return self.engine

    def _may_continue(self, end: UpstreamFault | None, last_id: int) -> bool:
        if self.engine is None or self.used:
            return False
        # Events without an id can't be told from repeated ones.
        if last_id <= self._begins_after:
            return False
        # A silent engine may still generate events, and so may one whose
        # response was rejected here; two engines must not run one request.
        if end is None or not end.closed_by_target:
            return False
        return self.engine in self._candidates(self._first)

    def _choose(self, place: RelayTarget) -> RelayTarget | None:
        traits = self.chooser.engine_traits(self.call)
        if not allows_backup(self.call, traits, self.max_tokens):
            return None
        rng = self.chooser.places.rng
        return choose_backup(place, self._candidates(place), rng)

    def _candidates(self, first: RelayTarget) -> tuple[RelayTarget, ...]:
        return self.chooser.other_targets(self.call, first)
