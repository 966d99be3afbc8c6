"""All answers at one router, in progress and kept."""

from collections import OrderedDict

import attrs

from balsamreach.clock import Clock
from balsamreach.config.settings import RequestsSettings
from balsamreach.requests.answers import Answer, End
from balsamreach.requests.body import Body, Room
from balsamreach.requests.faults import (
    ANSWER_NOT_KEPT,
    IN_PROGRESS,
    KEY_REUSED,
    RequestFault,
)
from balsamreach.requests.identity import RequestId
from balsamreach.telemetry.metrics import Metrics

JOINED = 'balsamreach_requests_joined_total'
_BYTES = 'balsamreach_answers_held_bytes'
_RUNNING = 'balsamreach_answers_in_progress'
#: Memory that an answer takes besides its body.
_OVERHEAD = 1024

_Key = tuple[str, str]


@attrs.define(eq=False)
class Answers(Room):
    """Answers by request, of which duplicates get a copy.

    Parameters
    ----------
    cfg : RequestsSettings
        How long and how much to keep.
    clock : Clock
        Time for keeping.
    metrics : Metrics
        Counts joined duplicates and bytes held.
    """

    cfg: RequestsSettings
    clock: Clock
    metrics: Metrics = attrs.field(factory=Metrics)
    held: int = 0
    _running: dict[_Key, Answer] = attrs.field(factory=dict)
    _kept: OrderedDict[_Key, Answer] = attrs.field(factory=OrderedDict)

    @property
    def each(self) -> int:
        """Most bytes one answer may hold."""
        return self.cfg.answer_bytes

    def known(self, team: str, key: str) -> Answer | None:
        """Return a request's answer, in progress or kept."""
        known = self._running.get((team, key))
        return known or self._kept.get((team, key))

    def find(self, req: RequestId) -> Answer | RequestFault | None:
        """Find what a request gets without running.

        Parameters
        ----------
        req : RequestId
            The request.

        Returns
        -------
        Answer, RequestFault or None
            The answer to join; KEY_REUSED, IN_PROGRESS or ANSWER_NOT_KEPT;
            None if the request is to be run.
        """
        self._expire()
        known = self.known(req.team, req.key)
        if known is None:
            return None
        if known.req.fingerprint != req.fingerprint:
            return KEY_REUSED.because('the key was used with another body')
        if known.end is None and not known.joinable:
            return IN_PROGRESS.because('its answer is too large to share')
        if known.end is not None and _must_run_again(known, known.end):
            return None
        if not known.joinable:
            return ANSWER_NOT_KEPT.because('it ran; its answer is not kept')
        self.metrics.count(JOINED, where='here')
        return known

    def open(self, req: RequestId, *, idempotent: bool = True) -> Answer:
        """Make the answer of a request that is about to run.

        One that ran before and failed keeps its mark of having been billed.
        """
        earlier = self._kept.pop((req.team, req.key), None)
        billed = earlier is not None and earlier.billed
        if earlier is not None:
            self._release(earlier)
        answer = Answer(req, Body(self), idempotent=idempotent, billed=billed)
        self._running[req.team, req.key] = answer
        self.grow(_OVERHEAD)
        self._measure()
        return answer

    def finish(self, answer: Answer, end: End) -> None:
        """End an answer and keep it for duplicates that come late."""
        key = (answer.req.team, answer.req.key)
        self._running.pop(key, None)
        self._kept[key] = answer
        answer.finish(end, self.clock.now())
        # Nobody can ask again under a key that only this router knows.
        if answer.req.minted:
            self.drop(answer)
        self._expire()
        self._measure()

    def drop(self, answer: Answer) -> None:
        """Forget an ended answer, so that the request can be sent again."""
        key = (answer.req.team, answer.req.key)
        if self._kept.pop(key, None) is not None:
            self._release(answer)

    def grow(self, more: int) -> bool:
        """Take in more bytes, at the cost of the oldest kept answers."""
        self.held += more
        while self.held > self.cfg.keep_bytes and self._kept:
            self._forget_oldest()
        return self.held <= self.cfg.keep_bytes

    def shrink(self, less: int) -> None:
        """Give bytes back."""
        self.held -= less

    def _expire(self) -> None:
        horizon = self.clock.now() - self.cfg.keep_answers
        while self._kept:
            oldest = next(iter(self._kept.values()))
            if oldest.ended_at > horizon:
                return
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        _key, answer = self._kept.popitem(last=False)
        self._release(answer)

    def _release(self, answer: Answer) -> None:
        self.shrink(_OVERHEAD)
        answer.body.clear()

    def _measure(self) -> None:
        self.metrics.gauge(_BYTES, self.held)
        self.metrics.gauge(_RUNNING, len(self._running))


def _must_run_again(answer: Answer, end: End) -> bool:
    # A broken answer must not stick to its key: every retry would get the
    # same error until the key expires, though another target could answer.
    return answer.idempotent and not (end.whole and answer.joinable)
