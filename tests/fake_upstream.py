"""Fake transport to targets; tests set the faults."""

import asyncio
import json
from collections import Counter, deque

import attrs

from balsamreach.dispatch.upstream import (
    BROKEN,
    NOT_SENT,
    REJECTED,
    Upstream,
)

#: Faults: what a target does instead of answering normally.
REFUSE = 'refuse'
DECLINE = 'decline'
FAIL = 'fail'
FOREIGN = 'foreign'
FOREIGN_DECLINE = 'foreign decline'
BREAK_BEFORE_HEAD = 'break before head'
HANG = 'hang'
ENDLESS = 'endless'
OTHER_WORDS = 'other words'
_CUT = 'cut'
_PAUSE = 'pause'
_WORD_COUNT = 5


def cut(events):
    """Return the fault of a stream that breaks after some events."""
    return f'{_CUT} {events}'


def pause(events):
    """Return the fault of a stream that pauses after some events."""
    return f'{_PAUSE} {events}'


@attrs.define
class FakeUpstream(Upstream):
    """Fake engines and services that answer or fail as planned.

    ``plans`` holds the faults of each target's next requests; without one the
    target answers. ``runs`` counts by request key how often a request was run.
    """

    plans: dict = attrs.field(factory=dict)
    next_faults: deque = attrs.field(factory=deque)
    runs: Counter = attrs.field(factory=Counter)
    sent: list = attrs.field(factory=list)
    dead: set = attrs.field(factory=set)
    cancelled: list = attrs.field(factory=list)
    generations: dict = attrs.field(factory=dict)
    cut_resumes: int = 0
    foreign_resumes: int = 0
    began: asyncio.Event = attrs.field(factory=asyncio.Event)
    go_on: asyncio.Event = attrs.field(factory=asyncio.Event)

    def plan(self, target, *faults):
        """Add faults for the next requests to a target."""
        self.plans.setdefault(target, deque()).extend(faults)

    def plan_next(self, fault):
        """Add a fault for the next request, whatever its target."""
        self.next_faults.append(fault)

    async def send(self, attempt, intake):
        """Send an attempt, a resume or a cancellation to its target."""
        name = attempt.target.name
        await asyncio.sleep(0)
        planned = self.plans.get(name)
        is_run = not attempt.call.path.startswith('/generations/')
        if is_run and self.next_faults:
            planned = self.next_faults
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
        if intake.problem:
            return REJECTED
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
        if intake.problem:
            return REJECTED
        event_count = len(events)
        if fault.startswith(_CUT):
            event_count = int(fault.split()[1])
        if fault.startswith(_PAUSE):
            first = int(fault.split()[1])
            await self._write_events(intake, events[:first], complete=events)
            await self.go_on.wait()
            events = events[first:]
        return await self._write_events(
            intake, events[:event_count], complete=events
        )

    async def _resume(self, attempt, intake):
        path, _separator, query = attempt.call.path.partition('?from=')
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
        is_foreign = self.foreign_resumes > 0
        self.foreign_resumes -= is_foreign
        headers = {
            'content-type': 'text/event-stream',
            'x-engine-request': 'another' if is_foreign else name,
        }
        intake.start(200, headers)
        if intake.problem:
            return REJECTED
        remaining = events if is_foreign else events[int(query) :]
        if self.cut_resumes > 0:
            self.cut_resumes -= 1
            remaining = remaining[:1]
        return await self._write_events(intake, remaining, complete=events)

    async def _write_events(self, intake, events, *, complete):
        for event in events:
            intake.write(event)
            await asyncio.sleep(0)
        return None if events and events[-1] == complete[-1] else BROKEN


def _head(attempt, fault):
    headers = {
        'content-type': 'application/json',
        'x-attempt-id': attempt.attempt_id,
    }
    if fault in {FOREIGN, FOREIGN_DECLINE}:
        headers['x-attempt-id'] = 'another'
    if fault in {DECLINE, FOREIGN_DECLINE}:
        return 503, headers | {'x-not-run': 'true'}
    return (500 if fault == FAIL else 200), headers


def _completion(attempt, fault):
    if fault in {DECLINE, FAIL, FOREIGN}:
        return {'error': fault}
    usage = {'prompt_tokens': 2, 'completion_tokens': _WORD_COUNT}
    return {'of': attempt.call.req.key, 'usage': usage}


def _events(name, fault):
    words = ['role', *(f'word-{number}' for number in range(_WORD_COUNT))]
    if fault in {FOREIGN, OTHER_WORDS}:
        words = ['role', 'something', 'else']
    if fault == ENDLESS:
        words = ['role', *('on' for _ in range(1000))]
    chunks = [{'id': name, 'choices': [{'delta': word}]} for word in words]
    usage = {'prompt_tokens': 2, 'completion_tokens': len(words) - 1}
    chunks.append({'id': name, 'choices': [], 'usage': usage})
    lines = [json.dumps(chunk) for chunk in chunks]
    return [f'data: {line}\n\n'.encode() for line in (*lines, '[DONE]')]
