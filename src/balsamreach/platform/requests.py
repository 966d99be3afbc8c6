"""Translates requests and answers from and to the platform's HTTP."""

import json
import random
import re
from collections.abc import Sequence

import attrs

from balsamreach.catalogue.catalogue import Catalogue
from balsamreach.catalogue.entries import Route, Team
from balsamreach.http_heads import connection_options
from balsamreach.placement.notices import TargetNotice
from balsamreach.placement.prompts import Part, Prompt
from balsamreach.placement.relay_targets import TargetEntry
from balsamreach.platform import header_names
from balsamreach.relay import faults
from balsamreach.relay.call import RelayCall
from balsamreach.relay.codec import (
    AnswerHead,
    CacheCopy,
    CallerRequest,
    Codec,
    RouterResponse,
)
from balsamreach.relay.faults import RelayFault
from balsamreach.retry_after import read_retry_after

_MS = 1000
_MISDIRECTED = 421
_LOWEST_PRIORITY = 9
_REQUEST_ID = re.compile(r'[!-~]{1,200}')
_TOKEN_COUNTS = re.compile(r'(\d{1,12}),(\d{1,12})')
_PROMPT_PART = re.compile(r'([0-9a-fA-F]{1,64}):(\d{1,12})')
_COUNT = re.compile(r'\d{1,9}')
#: Headers of an answer that hold a single word each.
_WORDS = (header_names.REQUEST_ID.lower(), header_names.SIGNATURE.lower())
_BLANK = re.compile(r'[ \t]')
#: A line that begins with a blank, and was joined to a header before it.
_JOINED_HEADER = re.compile(r'[ \t][^ \t:]*:')
_BEARER = re.compile(r'[Bb]earer +(\S+)')

_STATUS = {
    faults.NOT_READY: 503,
    faults.LEAVING: 503,
    faults.MALFORMED: 400,
    faults.NO_ROUTE: 404,
    faults.UNKNOWN_KEY: 401,
    faults.BODY_TOO_LARGE: 413,
    faults.HEADER_TOO_LARGE: 431,
    faults.BODY_TOO_SLOW: 408,
    faults.NO_MEMORY: 503,
    faults.BUDGET_EXHAUSTED: 402,
    faults.BUDGET_UNREACHABLE: 503,
    faults.NO_TARGET: 503,
    faults.CANNOT_FORWARD: 503,
    faults.MISDIRECTED: 503,
    faults.UNKNOWN_RELEASE: 503,
    faults.RELEASE_GONE: 503,
    faults.TARGETS_FULL: 503,
    faults.TARGETS_BACK_OFF: 503,
    faults.QUARANTINED: 503,
    faults.PART_QUARANTINED: 503,
    faults.EXPIRED_BEFORE_SENDING: 503,
    faults.TIMED_OUT: 504,
    faults.BROKEN: 502,
    faults.TARGET_FAILED: 502,
    faults.CUT_OFF: 502,
    faults.ABANDONED: 502,
}
_MAY_HAVE_RUN_STATUS = 502
_FLAG_SET = '1'


@attrs.define
class PlatformCodec(Codec):
    """Translates between the relay and the platform's HTTP.

    Parameters
    ----------
    rng : random.Random
        Picks among the weighted services of a route.
    """

    rng: random.Random

    def read_request(
        self,
        request: CallerRequest,
        catalogue: Catalogue,
    ) -> RelayCall | RelayFault:
        """Parse a request with a configuration, or return why it is refused."""
        headers = _Headers(request.headers)
        path = request.path.partition('?')[0]
        route = catalogue.find_route(headers.get('host'), path)
        if route is None:
            return faults.NO_ROUTE.because('no route matches the host and path')
        team = _read_team(headers, route, catalogue)
        if isinstance(team, RelayFault):
            return team
        request_id = headers.get(header_names.REQUEST_ID)
        if not _REQUEST_ID.fullmatch(request_id):
            return faults.MALFORMED.because(
                f'{header_names.REQUEST_ID} is missing or malformed'
            )
        prompt = _read_prompt(headers)
        time_left = _read_time_left(headers, route)
        resumes = _read_resumes(headers)
        for outcome in (prompt, time_left, resumes):
            if isinstance(outcome, RelayFault):
                return outcome
        return RelayCall(
            request_id=request_id,
            method=request.method,
            path=request.path,
            headers=headers.to_forward(),
            body=request.body,
            route=route,
            service=self._pick_service(route),
            priority=_priority(route, team),
            deadline=request.arrived + min(time_left, route.timeout),
            team=team,
            prompt=prompt,
            last_event=headers.get(header_names.LAST_EVENT_ID),
            resumes=resumes,
            catalogue_version=catalogue.version,
        )

    def target_headers(
        self,
        call: RelayCall,
        target: TargetEntry,
        time_left: float,
        last_event: str,
        copy: CacheCopy | None = None,
    ) -> list[tuple[str, str]]:
        """Return the headers to send to a target."""
        added = [
            (header_names.TIME_LEFT_MS, str(max(1, int(time_left * _MS)))),
            (header_names.EXPECTED_INSTANCE, target.target_id),
        ]
        if call.prompt is not None:
            priority = min(_LOWEST_PRIORITY, max(0, call.priority))
            added.append((header_names.PRIORITY, str(priority)))
        if call.team is not None:
            added.append((header_names.TEAM, call.team.name))
        if last_event:
            added.append((header_names.LAST_EVENT_ID, last_event))
        if copy is not None:
            added.append(_copy_header(call, copy))
        return [*call.headers, *added]

    def read_answer(self, status: int, headers: dict[str, str]) -> AnswerHead:
        """Parse the status and headers of a target's answer."""
        dropped = header_names.HOP_BY_HOP | connection_options(headers)
        forwarded = {
            name: text for name, text in headers.items() if name not in dropped
        }
        return AnswerHead(
            status=status,
            headers=tuple(forwarded.items()),
            request_id=headers.get(header_names.REQUEST_ID.lower(), ''),
            signed=header_names.SIGNATURE.lower() in forwarded,
            not_run=header_names.NOT_RUN.lower() in headers,
            misdirected=status == _MISDIRECTED,
            usable=_is_usable(headers),
            notice=_read_notice(status, headers),
        )

    def refuse(self, fault: RelayFault) -> RouterResponse:
        """Return the answer to a caller whose request failed."""
        status = _STATUS.get(fault, _MAY_HAVE_RUN_STATUS)
        body = json.dumps({'error': fault.code, 'reason': fault.reason})
        headers = [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body.encode()))),
        ]
        if fault.retry_after:
            headers.append(('Retry-After', f'{fault.retry_after:.2f}'))
        return RouterResponse(
            status=status,
            headers=tuple(headers),
            body=body.encode(),
        )

    def _pick_service(self, route: Route) -> str:
        weights = [split.weight for split in route.splits]
        chosen = self.rng.choices(route.splits, weights)
        return chosen[0].service


@attrs.define
class _Headers:
    """Case-insensitive lookup of request headers."""

    lines: Sequence[tuple[str, str]]

    def get(self, name: str) -> str:
        """Return the value of a header; empty if it is missing."""
        wanted = name.lower()
        for found, text in self.lines:
            if found.lower() == wanted:
                return text.strip()
        return ''

    def to_forward(self) -> tuple[tuple[str, str], ...]:
        """Return the caller's headers that are forwarded to a target."""
        connection_options = {
            word.strip().lower() for word in self.get('connection').split(',')
        }
        dropped = (
            header_names.HOP_BY_HOP
            | header_names.ROUTER_ONLY
            | connection_options
        )
        return tuple(
            (name, text)
            for name, text in self.lines
            if name.lower() not in dropped
        )


def _is_usable(headers: dict[str, str]) -> bool:
    if headers.get('content-encoding'):
        return False
    if any(_BLANK.search(headers.get(name, '')) for name in _WORDS):
        return False
    promise = headers.get(header_names.NOT_RUN.lower(), '')
    return _JOINED_HEADER.search(promise) is None


def _copy_header(call: RelayCall, copy: CacheCopy) -> tuple[str, str]:
    if copy.is_source:
        return header_names.KV_FROM, f'{copy.address}/{call.request_id}'
    return header_names.KV_BACKUP, copy.address


def _read_notice(status: int, headers: dict[str, str]) -> TargetNotice:
    leaving = headers.get(header_names.LEAVING.lower(), '')
    return TargetNotice(
        leaving=_FLAG_SET in map(str.strip, leaving.split(',')),
        retry_after=read_retry_after(status, headers),
        max_rejections=_read_brittle(headers),
    )


def _read_brittle(headers: dict[str, str]) -> int:
    match = _COUNT.fullmatch(headers.get(header_names.BRITTLE.lower(), ''))
    return max(1, int(match[0])) if match else 0


def _read_team(
    headers: _Headers,
    route: Route,
    catalogue: Catalogue,
) -> Team | RelayFault | None:
    if route.public or not catalogue.teams:
        return None
    match = _BEARER.fullmatch(headers.get(header_names.AUTHORIZATION))
    team = catalogue.find_team(match[1]) if match else None
    if team is None:
        return faults.UNKNOWN_KEY.because('the key belongs to no team')
    return team


def _read_resumes(headers: _Headers) -> str | RelayFault:
    resumes = headers.get(header_names.RESUMES)
    if resumes and not _REQUEST_ID.fullmatch(resumes):
        return faults.MALFORMED.because(f'{header_names.RESUMES} is malformed')
    return resumes


def _read_time_left(headers: _Headers, route: Route) -> float | RelayFault:
    text = headers.get(header_names.TIME_LEFT_MS)
    if not text:
        return route.timeout
    if not (text.isascii() and text.isdigit()):
        return faults.MALFORMED.because(
            f'{header_names.TIME_LEFT_MS} is no valid number'
        )
    return int(text) / _MS


def _read_prompt(headers: _Headers) -> Prompt | RelayFault | None:
    counts = headers.get(header_names.TOKEN_COUNTS)
    if not counts:
        return None
    match = _TOKEN_COUNTS.fullmatch(counts)
    if match is None:
        return faults.MALFORMED.because(
            f'{header_names.TOKEN_COUNTS} is not a pair of numbers'
        )
    parts = _read_parts(headers.get(header_names.PROMPT_PARTS))
    if isinstance(parts, RelayFault):
        return parts
    return Prompt(
        model=headers.get(header_names.MODEL),
        tokens=int(match[1]),
        max_output_tokens=int(match[2]),
        parts=parts,
    )


def _read_parts(text: str) -> tuple[Part, ...] | RelayFault:
    parts = []
    for entry in filter(None, text.split(',')):
        match = _PROMPT_PART.fullmatch(entry.strip())
        if match is None:
            return faults.MALFORMED.because(
                f'{header_names.PROMPT_PARTS} has no valid list of id:tokens'
            )
        parts.append(Part(match[1].lower(), int(match[2])))
    return tuple(parts)


def _priority(route: Route, team: Team | None) -> int:
    if team is not None and team.priority is not None:
        return team.priority
    return route.priority
