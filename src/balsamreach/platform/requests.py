"""Callers' requests, attempts at targets and answers, as spoken there."""

import json
import random
import re
from collections.abc import Sequence

import attrs

from balsamreach.catalogue.catalogue import Catalogue
from balsamreach.catalogue.entries import Route, Team
from balsamreach.placement.notices import TargetNotice
from balsamreach.placement.places import TargetEntry
from balsamreach.placement.prompts import Part, Prompt
from balsamreach.platform import names
from balsamreach.relay import faults
from balsamreach.relay.call import RelayCall
from balsamreach.relay.codec import (
    AnswerHead,
    CallerRequest,
    Codec,
    OwnAnswer,
)
from balsamreach.relay.faults import RelayFault
from balsamreach.retry_after import read_retry_after

_MS = 1000
_MISDIRECTED = 421
_LAST_RANK = 9
_ID = re.compile(r'[!-~]{1,200}')
_COUNTS = re.compile(r'(\d{1,12}),(\d{1,12})')
_PART = re.compile(r'([0-9a-fA-F]{1,64}):(\d{1,12})')
_BEARER = re.compile(r'[Bb]earer +(\S+)')

_STATUS = {
    faults.NOT_READY: 503,
    faults.MALFORMED: 400,
    faults.NO_ROUTE: 404,
    faults.NO_TEAM: 401,
    faults.BODY_TOO_LARGE: 413,
    faults.BUDGET_EXHAUSTED: 402,
    faults.BUDGET_UNREACHABLE: 503,
    faults.NO_TARGET: 503,
    faults.MISDIRECTED: 503,
    faults.TARGETS_FULL: 503,
    faults.TARGETS_BACK_OFF: 503,
    faults.QUARANTINED: 503,
    faults.TOO_LATE: 503,
    faults.TIMED_OUT: 504,
    faults.BROKEN: 502,
    faults.TARGET_FAILED: 502,
    faults.ABANDONED: 502,
}
_MAYBE_RUN = 502
_IS_SET = '1'


@attrs.define
class PlatformCodec(Codec):
    """Translates between the relay and the platform's HTTP.

    Parameters
    ----------
    rng : random.Random
        Chooses among the services of a route by their weights.
    """

    rng: random.Random

    def read_request(
        self,
        request: CallerRequest,
        catalogue: Catalogue,
    ) -> RelayCall | RelayFault:
        """Return the call that a request makes under a configuration."""
        headers = _Headers(request.headers)
        path = request.path.partition('?')[0]
        route = catalogue.find_route(headers.one('host'), path)
        if route is None:
            return faults.NO_ROUTE.because('no route has this host and path')
        team = _read_team(headers, route, catalogue)
        if isinstance(team, RelayFault):
            return team
        request_id = headers.one(names.REQUEST_ID)
        if not _ID.fullmatch(request_id):
            return faults.MALFORMED.because(f'{names.REQUEST_ID} is missing')
        prompt = _read_prompt(headers)
        time_left = _read_time(headers, route)
        for outcome in (prompt, time_left):
            if isinstance(outcome, RelayFault):
                return outcome
        return RelayCall(
            request_id=request_id,
            method=request.method,
            path=request.path,
            headers=headers.for_target(),
            body=request.body,
            route=route,
            service=self._pick(route),
            priority=_priority(route, team),
            deadline=request.arrived + min(time_left, route.timeout),
            team=team,
            prompt=prompt,
            last_event=headers.one(names.LAST_EVENT),
            catalogue_version=catalogue.version,
        )

    def target_headers(
        self,
        call: RelayCall,
        target: TargetEntry,
        time_left: float,
        last_event: str,
    ) -> list[tuple[str, str]]:
        """Return the headers of an attempt."""
        added = [
            (names.TIME_LEFT_MS, str(max(1, int(time_left * _MS)))),
            (names.MEANT_FOR, target.target_id),
        ]
        if call.prompt is not None:
            rank = min(_LAST_RANK, max(0, call.priority))
            added.append((names.RANK, str(rank)))
        if call.team is not None:
            added.append((names.TEAM, call.team.name))
        if last_event:
            added.append((names.LAST_EVENT, last_event))
        return [*call.headers, *added]

    def read_answer(self, status: int, headers: dict[str, str]) -> AnswerHead:
        """Return what the head of an answer says."""
        passed = tuple(
            (name, text)
            for name, text in headers.items()
            if name not in names.ONE_CONNECTION or name == 'content-length'
        )
        return AnswerHead(
            status=status,
            headers=passed,
            request_id=headers.get(names.REQUEST_ID.lower(), ''),
            signed=names.SIGNATURE.lower() in headers,
            not_run=names.NOT_RUN.lower() in headers,
            misdirected=status == _MISDIRECTED,
            usable=not headers.get('content-encoding'),
            notice=_read_notice(status, headers),
        )

    def refuse(self, fault: RelayFault) -> OwnAnswer:
        """Return the answer that tells a caller of a fault."""
        status = _STATUS.get(fault, _MAYBE_RUN)
        body = json.dumps({'error': fault.code, 'reason': fault.reason})
        headers = [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body.encode()))),
        ]
        if fault.retry_after:
            headers.append(('Retry-After', f'{fault.retry_after:.2f}'))
        return OwnAnswer(
            status=status,
            headers=tuple(headers),
            body=body.encode(),
        )

    def _pick(self, route: Route) -> str:
        weights = [split.weight for split in route.splits]
        chosen = self.rng.choices(route.splits, weights)
        return chosen[0].service


@attrs.define
class _Headers:
    """Headers of a request, found by name in any case."""

    lines: Sequence[tuple[str, str]]

    def one(self, name: str) -> str:
        """Return a header's text, empty if there is none."""
        wanted = name.lower()
        for found, text in self.lines:
            if found.lower() == wanted:
                return text.strip()
        return ''

    def for_target(self) -> tuple[tuple[str, str], ...]:
        """Return what a target gets of the caller's headers."""
        named = {
            word.strip().lower() for word in self.one('connection').split(',')
        }
        dropped = names.ONE_CONNECTION | names.ROUTERS_OWN | named
        return tuple(
            (name, text)
            for name, text in self.lines
            if name.lower() not in dropped
        )


def _read_notice(status: int, headers: dict[str, str]) -> TargetNotice:
    leaving = headers.get(names.LEAVING.lower(), '')
    return TargetNotice(
        leaving=_IS_SET in map(str.strip, leaving.split(',')),
        retry_after=read_retry_after(status, headers),
    )


def _read_team(
    headers: _Headers,
    route: Route,
    catalogue: Catalogue,
) -> Team | RelayFault | None:
    if route.public or not catalogue.teams:
        return None
    match = _BEARER.fullmatch(headers.one(names.AUTHORIZATION))
    team = catalogue.find_team(match[1]) if match else None
    if team is None:
        return faults.NO_TEAM.because('the key belongs to no team')
    return team


def _read_time(headers: _Headers, route: Route) -> float | RelayFault:
    text = headers.one(names.TIME_LEFT_MS)
    if not text:
        return route.timeout
    if not (text.isascii() and text.isdigit()):
        return faults.MALFORMED.because(f'{names.TIME_LEFT_MS} is no number')
    return int(text) / _MS


def _read_prompt(headers: _Headers) -> Prompt | RelayFault | None:
    counts = headers.one(names.TOKENS)
    if not counts:
        return None
    match = _COUNTS.fullmatch(counts)
    if match is None:
        return faults.MALFORMED.because(f'{names.TOKENS} is not two numbers')
    parts = _read_parts(headers.one(names.PROMPT_PARTS))
    if isinstance(parts, RelayFault):
        return parts
    return Prompt(
        model=headers.one(names.MODEL),
        tokens=int(match[1]),
        most_output=int(match[2]),
        parts=parts,
    )


def _read_parts(text: str) -> tuple[Part, ...] | RelayFault:
    parts = []
    for entry in filter(None, text.split(',')):
        match = _PART.fullmatch(entry.strip())
        if match is None:
            return faults.MALFORMED.because(f'{names.PROMPT_PARTS} is no list')
        parts.append(Part(match[1].lower(), int(match[2])))
    return tuple(parts)


def _priority(route: Route, team: Team | None) -> int:
    if team is not None and team.priority is not None:
        return team.priority
    return route.priority
