"""Command ``explain``."""

import json
from collections.abc import Iterator

import attrs
import click

from balsamreach.client.request_history import (
    LogLine,
    RequestHistory,
    find_request,
    read_lines,
)
from balsamreach.faults import Fault
from balsamreach.ui import exit_codes
from balsamreach.ui.errors import CommandError

_NOT_FOUND = Fault('request_not_found')


@click.command('explain')
@click.argument('request_id')
@click.argument('files', nargs=-1, type=click.File(errors='replace'))
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def command(
    request_id: str,
    files: tuple[click.utils.LazyFile, ...],
    as_json: bool,
) -> None:
    """Print the log lines that explain how a request was handled.

    FILES are logs of any number of routers; without FILES, the lines are
    read from standard input.
    """
    sources = files or (click.get_text_stream('stdin'),)
    texts = (text for source in sources for text in source)
    history = find_request(request_id, read_lines(texts))
    if not history.lines:
        fault = _NOT_FOUND.because(
            f'no line of these logs names request {request_id}; give the '
            'logs of all routers, since each retry may reach another one',
        )
        raise CommandError('explain the request', fault, exit_codes.FAILED)
    if as_json:
        click.echo(json.dumps(attrs.asdict(history)))
        return
    for text in _format_history(history):
        click.echo(text)


def _format_history(history: RequestHistory) -> Iterator[str]:
    yield 'State of its routers:'
    yield from map(_format_line, history.beliefs)
    yield 'Lines of the request:'
    yield from map(_format_line, history.lines)
    end_line = history.end_line
    if end_line is None:
        yield 'The end of the request is not in these logs.'
        return
    outcome = end_line.fields.get('outcome', end_line.event)
    reason = end_line.fields.get('reason', 'no reason given')
    yield f'Decided at {end_line.time} by {end_line.host}: {outcome}, {reason}'


def _format_line(line: LogLine) -> str:
    fields = ' '.join(f'{name}={text}' for name, text in line.fields.items())
    return f'  {line.time} {line.host} {line.event} {fields}'
