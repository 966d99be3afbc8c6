"""Export and import of the table as a CSV file for spreadsheets."""

import csv
from collections.abc import Iterable, Iterator
from typing import Any, TextIO

import attrs

from balsamreach.client.cells import format_cell, parse_cell
from balsamreach.client.faults import BAD_FILE, ClientFault
from balsamreach.table import rows
from balsamreach.table.faults import TableFault

_SAMPLES = {
    'team': rows.encode(rows.TeamRow(name='x')),
    'target': rows.encode(
        rows.TargetRow(name='x', address='127.0.0.1:1', zone='x', service='x'),
    ),
}
_ROW_COLUMNS = ('kind', 'name', 'version')
_MAX_CELL = 10**6


def _columns() -> tuple[str, ...]:
    fields = dict.fromkeys(_ROW_COLUMNS)
    for sample in _SAMPLES.values():
        fields.update(dict.fromkeys(sample))
    return tuple(fields)


COLUMNS = _columns()


@attrs.frozen
class Line:
    """One line of a CSV file.

    Parameters
    ----------
    number : int
        Line number in the file, from 1.
    key : str
        Key of the row, like ``team/winders``.
    version : int
        Exported version of the row; 0 for a new row.
    fields : dict
        Fields whose cells are not empty; an import keeps the others.
    """

    number: int
    key: str
    version: int
    fields: dict[str, Any]


def write_table(table: Iterable[dict[str, Any]], stream: TextIO) -> int:
    """Write rows as CSV and return their number."""
    writer = csv.DictWriter(stream, COLUMNS, extrasaction='ignore')
    writer.writeheader()
    written = 0
    for row in table:
        kind, _, name = row['key'].partition('/')
        row_cells = {'kind': kind, 'name': name, 'version': row['version']}
        fields = row['value'] | row_cells
        writer.writerow(
            {column: format_cell(cell) for column, cell in fields.items()},
        )
        written += 1
    return written


def read_table(stream: TextIO) -> Iterator[Line | ClientFault]:
    """Yield the lines of a CSV file, and a fault for each invalid line.

    Parameters
    ----------
    stream : text stream
        The file, opened without newline translation.
    """
    first = stream.readline()
    # Spreadsheets use semicolons in locales with a decimal comma.
    separator = ';' if first.count(';') > first.count(',') else ','
    header = next(csv.reader([first], delimiter=separator), [])
    unknown = sorted(set(header) - set(COLUMNS))
    missing = [column for column in _ROW_COLUMNS if column not in header]
    if unknown or missing:
        yield _bad_line(1, _describe_header(unknown, missing))
        return
    csv.field_size_limit(_MAX_CELL)
    reader = csv.DictReader(stream, header, delimiter=separator)
    for cells in reader:
        yield _read_line(reader.line_num + 1, cells)


def _describe_header(unknown: list[str], missing: list[str]) -> str:
    if missing:
        listed = ', '.join(missing)
        return f'columns missing: {listed}; export to see all columns'
    listed = ', '.join(unknown)
    return f'there is no column {listed}; export to see all columns'


def _read_line(
    number: int,
    cells: dict[str | None, Any],
) -> Line | ClientFault:
    if None in cells or None in cells.values():
        return _bad_line(
            number, 'the line has more or fewer cells than columns'
        )
    kind = cells['kind'].strip()
    sample = _SAMPLES.get(kind)
    if sample is None:
        return _bad_line(number, 'kind: must be team or target')
    fields = _read_fields(number, cells, sample)
    if isinstance(fields, ClientFault):
        return fields
    version = cells['version'].strip() or '0'
    if not (version.isascii() and version.isdigit()):
        return _bad_line(
            number, 'version: must be as exported, empty for a new row'
        )
    key = f'{kind}/{fields["name"]}'
    problem = _find_problem(key, fields, sample)
    if problem:
        return _bad_line(number, problem)
    return Line(number, key, int(version), fields)


def _read_fields(
    number: int,
    cells: dict[str, str],
    sample: dict[str, Any],
) -> dict[str, Any] | ClientFault:
    fields: dict[str, Any] = {'name': ''}
    for column, cell in cells.items():
        if column in {'kind', 'version'} or not cell:
            continue
        if column not in sample:
            return _bad_line(
                number, f'{column}: not a field of this kind of row'
            )
        try:
            fields[column] = parse_cell(cell, sample[column])
        except ValueError as exc:
            return _bad_line(number, f'{column}: {exc}')
    return fields


def _find_problem(
    key: str, fields: dict[str, Any], sample: dict[str, Any]
) -> str:
    # Fields that are missing in the file are already in the table. The sample
    # stands in for them, so that only the fields of the file are checked.
    typed = rows.decode(f'{rows.TABLE_PREFIX}{key}', {**sample, **fields})
    return typed.reason if isinstance(typed, TableFault) else ''


def _bad_line(number: int, reason: str) -> ClientFault:
    return BAD_FILE.because(f'line {number}: {reason}')
