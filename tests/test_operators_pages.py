"""Checks that the documentation pages match the code."""

import ast
import configparser
import inspect
import pathlib
import re
import unittest
from http import HTTPStatus

import attrs
import click

import balsamreach
from balsamreach.config import units, views
from balsamreach.config.listeners import view_of
from balsamreach.config.reader import default_text
from balsamreach.config.settings import Settings
from balsamreach.dispatch import faults
from balsamreach.dispatch.faults import DispatchFault
from balsamreach.gateway import operators_base
from balsamreach.gateway.refusals import from_fault
from balsamreach.requests.faults import BAD_KEY
from balsamreach.ui import exit_codes
from balsamreach.ui.main import main

_DOCS = pathlib.Path(__file__).parent.parent / 'docs'
_SOURCE = pathlib.Path(balsamreach.__file__).parent
_CODE_SPAN = re.compile(r'`([^`]+)`')
#: A link to a file in the repository; the group excludes the fragment.
_LINK = re.compile(r'\]\(([^):#]+)(?:#[^)]*)?\)')
_UNIT_OF_PARSER = {
    units.read_count: 'count',
    units.read_duration: 'duration',
    units.read_flag: 'flag',
    units.read_share: 'share',
    units.read_size: 'size',
    views.read_address: 'IP number',
    views.read_digests: 'digests',
    views.read_endpoints: 'ip:port pairs',
    views.read_name: 'name',
    views.read_own_address: 'IP number',
    views.read_port: 'port',
    views.read_text: 'path',
    views.read_url: 'URL',
}


def _sections(page):
    """Yield each heading of a page with the cells of its table rows."""
    text = (_DOCS / page).read_text()
    for section in re.split(r'^#+ ', text, flags=re.MULTILINE)[1:]:
        heading, *lines = section.splitlines()
        rows = [line for line in lines if line.startswith('| ')]
        cells = [
            [cell.strip() for cell in row.split('|')[1:-1]] for row in rows
        ]
        yield heading, cells[1:]


def _rows(page, heading):
    return dict(_sections(page))[heading]


def _code_spans(cell):
    return _CODE_SPAN.findall(cell)


def _find_calls(name, package='gateway'):
    """Yield the calls of a name with two or more arguments in a package."""
    for path in _SOURCE.glob(f'{package}/*.py'):
        for node in ast.walk(ast.parse(path.read_text())):
            func = getattr(node, 'func', None)
            called = getattr(func, 'id', None) or getattr(func, 'attr', None)
            if called == name and len(node.args) > 1:
                yield node


def _literal_codes(name):
    """Yield status and code of each call of a name with a literal code.

    The status is None if it is not a constant.
    """
    for node in _find_calls(name):
        code = getattr(node.args[1], 'value', None)
        if isinstance(code, str):
            yield _status(node.args[0]), code


def _status(node):
    if isinstance(node, ast.Constant):
        return node.value
    return getattr(HTTPStatus, getattr(node, 'attr', ''), None)


def _listed_codes(rows):
    return {
        (int(row[0].rstrip('*')), code)
        for row in rows
        for code in _code_spans(row[1])
    }


def _parse_setting_row(row):
    key, unit, default = row[:3]
    return key.strip('`'), unit, default.strip('`')


def _instances_in(module, instance_type):
    return [
        fault
        for _, fault in inspect.getmembers(module)
        if isinstance(fault, instance_type)
    ]


def _commands(command, path=()):
    if isinstance(command, click.Group):
        with click.Context(command) as ctx:
            for name in command.list_commands(ctx):
                yield from _commands(
                    command.get_command(ctx, name),
                    (*path, name),
                )
    else:
        yield ' '.join(path)


class OperatorsPagesTest(unittest.TestCase):
    """The operators' pages list exactly what the code has."""

    maxDiff = None

    def test_settings(self):
        parser = configparser.ConfigParser(interpolation=None)
        parser.read_string(default_text())
        known = set()
        for section in attrs.fields(Settings):
            for key in attrs.fields(section.type):
                default = parser[section.name][key.name]
                unit = _UNIT_OF_PARSER.get(view_of(key), 'word')
                known.add((section.name, key.name, unit, default))
        listed = {
            (heading.strip('`[]'), *_parse_setting_row(row))
            for heading, rows in _sections('operators/settings.md')
            if heading.startswith('`[')
            for row in rows
        }
        self.assertEqual(listed, known)

    def test_callers_refusals(self):
        known = set(_literal_codes('Refusal'))
        known.add((HTTPStatus.BAD_REQUEST, BAD_KEY.code))
        for fault in _instances_in(faults, DispatchFault):
            known.add((from_fault(fault).status, fault.code))
        self.compare_codes("Refusals on the callers' interface", known)

    def test_refusals_state_whether_the_request_ran(self):
        rows = _rows(
            'operators/errors.md', "Refusals on the callers' interface"
        )
        listed = {code: row[2] for row in rows for code in _code_spans(row[1])}
        for fault in _instances_in(faults, DispatchFault):
            documented_values = listed[fault.code].split(' or ')
            self.assertIn(fault.ran, documented_values, fault.code)

    def test_operators_refusals(self):
        known = set(_literal_codes('refuse'))
        for fault, status in operators_base.STATUS_OF_FAULT.items():
            known.add((status, fault.code))
        self.compare_codes("Refusals on the operators' interface", known)

    def compare_codes(self, heading, known):
        listed = _listed_codes(_rows('operators/errors.md', heading))
        # If the status depends on the case, only the code is compared.
        codes_without_status = {
            code for status, code in known if status is None
        }
        pairs_with_status = {
            pair for pair in known if pair[1] not in codes_without_status
        }
        self.assertEqual(
            {pair for pair in listed if pair[1] not in codes_without_status},
            pairs_with_status,
        )
        self.assertLessEqual(codes_without_status, {code for _, code in listed})

    def test_log_events(self):
        pages = (_DOCS / 'operators').glob('*.md')
        documented = {
            word for page in pages for word in _code_spans(page.read_text())
        }
        events = {
            call.args[2].value
            for call in _find_calls('log_event', package='*')
            if isinstance(call.args[2], ast.Constant)
        }
        self.assertEqual(events - documented, set())

    def test_commands(self):
        listed = set()
        for row in _rows('operators/start.md', 'Commands'):
            name, *subcommands = _code_spans(row[0])
            listed.update(f'{name} {other}' for other in subcommands)
            if not subcommands:
                listed.add(name)
        self.assertEqual(listed, set(_commands(main)))

    def test_exit_codes(self):
        rows = _rows('operators/start.md', 'Exit codes')
        known = set(_instances_in(exit_codes, int))
        self.assertEqual({int(row[0]) for row in rows}, known)

    def test_links_to_files_exist(self):
        pages = (*_DOCS.rglob('*.md'), *_DOCS.parent.glob('*.md'))
        broken = [
            f'{page.name}: {link}'
            for page in pages
            for link in _LINK.findall(page.read_text())
            if not (page.parent / link).exists()
        ]
        self.assertEqual(broken, [])

    def test_packages(self):
        rows = _rows('ARCHITECTURE.md', 'Packages')
        listed = {name for row in rows for name in _code_spans(row[0])}
        known = {path.parent.name for path in _SOURCE.glob('*/__init__.py')}
        modules = {path.stem for path in _SOURCE.glob('[!_]*.py')}
        self.assertEqual(listed, known | modules)
