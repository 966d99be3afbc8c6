"""All answers of one router, in progress and kept."""

from collections import OrderedDict

import attrs

from balsamreach.clock import Clock
from balsamreach.config.settings import RequestsSettings
from balsamreach.requests.answers import Answer, AnswerEnd
from balsamreach.requests.body import AnswerMemory, Body
from balsamreach.requests.faults import (
    ANSWER_NOT_KEPT,
    IN_PROGRESS,
    KEY_REUSED,
    RequestFault,
)
from balsamreach.requests.identity import RequestId
from balsamreach.telemetry.metrics import Metrics

JOINED_REQUESTS = 'balsamreach_requests_joined_total'
_HELD_BYTES_GAUGE = 'balsamreach_answers_held_bytes'
_IN_PROGRESS_GAUGE = 'balsamreach_answers_in_progress'
#: Estimated bytes of memory per answer besides its body.
_OVERHEAD_BYTES = 1024

_Key = tuple[str, str]


@attrs.define(eq=False)
class AnswerRegistry(AnswerMemory):
    """Answers by request, of which duplicates get a copy.

    Parameters
    ----------
    cfg : RequestsSettings
        How long and how much to keep.
    clock : Clock
        Clock of the expiry.
    metrics : Metrics
        Counts joined duplicates and bytes held.
    held : int
        Bytes held by all answers.
    """

    cfg: RequestsSettings
    clock: Clock
    metrics: Metrics = attrs.field(factory=Metrics)
    held: int = 0
    _in_progress: dict[_Key, Answer] = attrs.field(factory=dict)
    _kept: OrderedDict[_Key, Answer] = attrs.field(factory=OrderedDict)

    @property
    def max_bytes_each(self) -> int:
        """Maximum bytes of one answer."""
        return self.cfg.answer_bytes

    def get(self, team: str, key: str) -> Answer | None:
        """Return a request's answer, in progress or kept."""
        known = self._in_progress.get((team, key))
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
            None if the request is to run.
        """
        self._expire()
        known = self.get(req.team, req.key)
        if known is None:
            return None
        if known.req.fingerprint != req.fingerprint:
            return KEY_REUSED.because('the key was used with another body')
        if known.end is None and not known.joinable:
            return IN_PROGRESS.because(
                'the answer in progress is too large to share'
            )
        if known.end is not None and _must_run_again(known, known.end):
            return None
        if not known.joinable:
            return ANSWER_NOT_KEPT.because(
                'the request ran, but its answer was not kept'
            )
        self.metrics.count(JOINED_REQUESTS, where='here')
        return known

    def open(self, req: RequestId, *, idempotent: bool = True) -> Answer:
        """Create the answer of a request that is about to run.

        If the request ran before and failed, it stays marked as billed.
        """
        earlier = self._kept.pop((req.team, req.key), None)
        billed = earlier is not None and earlier.billed
        if earlier is not None:
            self._free(earlier)
        answer = Answer(req, Body(self), idempotent=idempotent, billed=billed)
        self._in_progress[req.team, req.key] = answer
        self.allocate(_OVERHEAD_BYTES)
        self._update_gauges()
        return answer

    def finish(self, answer: Answer, end: AnswerEnd) -> None:
        """End an answer and keep it for later duplicates."""
        key = (answer.req.team, answer.req.key)
        self._in_progress.pop(key, None)
        self._kept[key] = answer
        answer.finish(end, self.clock.now())
        # A key that only this router knows can't be sent again.
        if answer.req.minted:
            self.drop(answer)
        self._expire()
        self._update_gauges()

    def drop(self, answer: Answer) -> None:
        """Remove an ended answer, so that the request can be sent again."""
        key = (answer.req.team, answer.req.key)
        if self._kept.pop(key, None) is not None:
            self._free(answer)

    def allocate(self, size_bytes: int) -> bool:
        """Count more bytes; drop the oldest kept answers to make room."""
        self.held += size_bytes
        while self.held > self.cfg.keep_bytes and self._kept:
            self._drop_oldest()
        return self.held <= self.cfg.keep_bytes

    def free(self, size_bytes: int) -> None:
        """Subtract freed bytes."""
        self.held -= size_bytes

    def _expire(self) -> None:
        expired_before = self.clock.now() - self.cfg.keep_answers
        while self._kept:
            oldest = next(iter(self._kept.values()))
            if oldest.ended_at > expired_before:
                return
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        _key, answer = self._kept.popitem(last=False)
        self._free(answer)

    def _free(self, answer: Answer) -> None:
        self.free(_OVERHEAD_BYTES)
        answer.body.clear()

    def _update_gauges(self) -> None:
        self.metrics.gauge(_HELD_BYTES_GAUGE, self.held)
        self.metrics.gauge(_IN_PROGRESS_GAUGE, len(self._in_progress))


def _must_run_again(answer: Answer, end: AnswerEnd) -> bool:
    # A broken answer must not stay under its key: every retry would get the
    # same error until the key expires, although another target could answer.
    return answer.idempotent and not (end.is_complete and answer.joinable)
