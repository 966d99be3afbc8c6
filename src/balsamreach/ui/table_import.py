"""Command ``table import``."""

import json
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import attrs
import click

from balsamreach.client.csv_table import read_table
from balsamreach.client.faults import BAD_FILE, ClientFault
from balsamreach.client.importing import (
    CONFLICT,
    REFUSED,
    UNCHANGED,
    Import,
    LineOutcome,
    check_file,
)
from balsamreach.client.operators import OperatorsClient
from balsamreach.ui import exit_codes
from balsamreach.ui.errors import CommandError
from balsamreach.ui.operator_options import operator_command, operator_error

_ENCODING = 'utf-8-sig'


@attrs.define
class Report:
    """Prints the outcome of each line and counts them.

    Parameters
    ----------
    as_json : bool
        Whether each line is printed as JSON.
    counts : Counter
        Number of lines by state.
    """

    as_json: bool
    counts: Counter[str] = attrs.field(factory=Counter)

    def add(self, outcome: LineOutcome) -> None:
        """Count a line; print it, as text only if something changes."""
        self.counts[outcome.state] += 1
        if self.as_json:
            click.echo(json.dumps(attrs.asdict(outcome), ensure_ascii=False))
        elif outcome.state != UNCHANGED:
            click.echo(_as_line(outcome))

    def finish(self) -> None:
        """Print the counts; exit with an error on conflicts or refusals."""
        counts = [f'{count} {state}' for state, count in self.counts.items()]
        click.echo(', '.join(counts) or 'no rows', err=True)
        if self.counts[CONFLICT]:
            click.echo(
                'rows in conflict: export again and repeat the change', err=True
            )
            click.get_current_context().exit(exit_codes.CONFLICT)
        if self.counts[REFUSED]:
            click.get_current_context().exit(exit_codes.FAILED)


@click.command('import')
@click.argument('path', type=click.Path(exists=True, dir_okay=False))
@click.option('--dry-run', is_flag=True, help='Only show what would change.')
@operator_command
def import_command(
    client: OperatorsClient,
    path: str,
    dry_run: bool,
    as_json: bool,
) -> None:
    """Import the rows of a CSV file into the table.

    The whole file is checked first. A row is only written if it still has
    the exported version. Rows that already match the file are skipped, so an
    interrupted import can be run again. Rows that are not in the file are
    kept. An empty cell keeps the value of its field; write [] to empty a
    list.
    """
    with Path(path).open(encoding=_ENCODING, newline='') as stream:
        _check(path, stream)
    report = Report(as_json)
    with Path(path).open(encoding=_ENCODING, newline='') as stream:
        _run(Import(client, dry_run), read_table(stream), report)
    report.finish()


def _check(path: str, stream: Any) -> None:
    try:
        flaws = check_file(stream)
    except UnicodeDecodeError:
        flaws = [BAD_FILE.because('not UTF-8; save it as CSV UTF-8')]
    if flaws:
        listed = '\n'.join(flaw.reason for flaw in flaws)
        fault = BAD_FILE.because(f'{listed}\nnothing was changed')
        raise CommandError(f'import {path}', fault, exit_codes.USAGE)


def _run(importing: Import, lines: Iterable[Any], report: Report) -> None:
    for outcome in importing.run(lines):
        if isinstance(outcome, ClientFault):
            done = dict(report.counts)
            reason = f'{outcome.reason}; so far {done}; run it again to go on'
            raise operator_error('go on importing', outcome.because(reason))
        report.add(outcome)


def _as_line(outcome: LineOutcome) -> str:
    changes = [
        f'{name}: {_dump(old)} -> {_dump(new)}'
        for name, (old, new) in outcome.changes.items()
    ]
    listed = ', '.join(changes)
    line = outcome.line
    reason = f' ({outcome.reason})' if outcome.reason else ''
    return f'line {line.number}: {outcome.state} {line.key}: {listed}{reason}'


def _dump(field: Any) -> str:
    return json.dumps(field, ensure_ascii=False)
