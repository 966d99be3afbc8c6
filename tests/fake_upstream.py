"""A transport to targets, whose every fault is set by the test."""

import asyncio
import json
from collections import Counter, deque

import attrs

from balsamreach.dispatch.upstream import BROKEN, NOT_SENT, Upstream

#: What a target may do with a request, in place of answering it.
REFUSE = 'refuse'
DECLINE = 'decline'
FAIL = 'fail'
FOREIGN = 'foreign'
BREAK_BEFORE_HEAD = 'break before head'
HANG = 'hang'
ENDLESS = 'endless'
OTHER_WORDS = 'other words'
_CUT = 'cut'
_PAUSE = 'pause'
_WORDS = 5


def cut(events):
    """Return the fault of a stream that breaks after some events."""
    return f'{_CUT} {events}'


def pause(events):
    """Return the fault of a stream that waits after some events."""
    return f'{_PAUSE} {events}'


@attrs.define
class FakeUpstream(Upstream):
    """Engines and services that answer by plan.

    ``plans`` holds what each target does with its next requests; without a
    plan it answers. ``runs`` counts by request key how often one was begun.
    """

    plans: dict = attrs.field(factory=dict)
    coming: deque = attrs.field(factory=deque)
    runs: Counter = attrs.field(factory=Counter)
    sent: list = attrs.field(factory=list)
    dead: set = attrs.field(factory=set)
    cancelled: list = attrs.field(factory=list)
    generations: dict = attrs.field(factory=dict)
    cut_resumes: int = 0
    began: asyncio.Event = attrs.field(factory=asyncio.Event)
    go_on: asyncio.Event = attrs.field(factory=asyncio.Event)

    def plan(self, target, *faults):
        """Add to what a target does next."""
        self.plans.setdefault(target, deque()).extend(faults)

    def plan_next(self, fault):
        """Add to what the targets that are asked next do, in turn."""
        self.coming.append(fault)

    async def send(self, attempt, intake):
        """Carry an attempt to its target, or a resume or cancel."""
        name = attempt.target.name
        await asyncio.sleep(0)
        planned = self.plans.get(name)
        is_run = not attempt.call.path.startswith('/generations/')
        if is_run and self.coming:
            planned = self.coming
        fault = planned.popleft() if planned and is_run else ''
        if name in self.dead or fault == REFUSE or not intake.may_send():
            return NOT_SENT
        if not is_run:
            return await self._resume(attempt, intake)
        self.began.set()
        self.sent.append((name, attempt.call.req.key, attempt.attempt_id))
        if fault != DECLINE:
            self.runs[attempt.call.req.key] += 1
        if attempt.call.stream:
            return await self._stream(attempt, intake, fault)
        return await self._answer(attempt, intake, fault)

    async def _answer(self, attempt, intake, fault):
        if fault == HANG:
            await asyncio.Future()
        if fault in {BREAK_BEFORE_HEAD, cut(0)}:
            return BROKEN
        status, headers = _head(attempt, fault)
        intake.start(status, headers)
        intake.write(json.dumps(_completion(attempt, fault)).encode())
        return None

    async def _stream(self, attempt, intake, fault):
        if fault in {DECLINE, FAIL, BREAK_BEFORE_HEAD, HANG}:
            return await self._answer(attempt, intake, fault)
        name = f'generation-{len(self.generations)}'
        events = _events(name, fault)
        self.generations[name] = events
        _status, headers = _head(attempt, fault)
        headers['content-type'] = 'text/event-stream'
        intake.start(200, headers | {'x-engine-request': name})
        shown = len(events)
        if fault.startswith(_CUT):
            shown = int(fault.split()[1])
        if fault.startswith(_PAUSE):
            first = int(fault.split()[1])
            await self._show(intake, events[:first], whole=events)
            await self.go_on.wait()
            events = events[first:]
        return await self._show(intake, events[:shown], whole=events)

    async def _resume(self, attempt, intake):
        path, _mark, query = attempt.call.path.partition('?from=')
        name = path.rpartition('/')[2]
        if attempt.call.method == 'DELETE':
            self.cancelled.append(name)
            intake.start(204, {})
            return None
        events = self.generations.get(name)
        if events is None:
            intake.start(404, {'content-type': 'application/json'})
            intake.write(b'{"error": "no such generation"}')
            return None
        kind = {'content-type': 'text/event-stream', 'x-engine-request': name}
        intake.start(200, kind)
        rest = events[int(query) :]
        if self.cut_resumes > 0:
            self.cut_resumes -= 1
            rest = rest[:1]
        return await self._show(intake, rest, whole=events)

    async def _show(self, intake, shown, *, whole):
        for event in shown:
            intake.write(event)
            await asyncio.sleep(0)
        return None if shown and shown[-1] == whole[-1] else BROKEN


def _head(attempt, fault):
    headers = {
        'content-type': 'application/json',
        'x-attempt-id': attempt.attempt_id,
    }
    if fault == FOREIGN:
        headers['x-attempt-id'] = 'another'
    if fault == DECLINE:
        return 503, headers | {'x-not-run': 'true'}
    return (500 if fault == FAIL else 200), headers


def _completion(attempt, fault):
    if fault in {DECLINE, FAIL, FOREIGN}:
        return {'error': fault}
    usage = {'prompt_tokens': 2, 'completion_tokens': _WORDS}
    return {'of': attempt.call.req.key, 'usage': usage}


def _events(name, fault):
    words = ['role', *(f'word-{number}' for number in range(_WORDS))]
    if fault == OTHER_WORDS:
        words = ['role', 'something', 'else']
    if fault == ENDLESS:
        words = ['role', *('on' for _ in range(1000))]
    chunks = [{'id': name, 'choices': [{'delta': word}]} for word in words]
    usage = {'prompt_tokens': 2, 'completion_tokens': len(words) - 1}
    chunks.append({'id': name, 'choices': [], 'usage': usage})
    lines = [json.dumps(chunk) for chunk in chunks]
    return [f'data: {line}\n\n'.encode() for line in (*lines, '[DONE]')]
