"""Options shared by all commands that send requests to a router."""

import json
from collections.abc import Callable
from functools import partial, wraps
from pathlib import Path
from typing import Any

import click

from balsamreach.client.faults import (
    BAD_CERTIFICATE,
    CONFLICTING,
    OUTCOME_UNKNOWN,
    REFUSED,
    UNREACHABLE,
    UNTRUSTED,
    ClientFault,
)
from balsamreach.client.operators import OperatorsClient
from balsamreach.curl_tls import CurlTls
from balsamreach.ui import exit_codes
from balsamreach.ui.errors import CommandError

_EXIT_CODES = {
    UNREACHABLE: exit_codes.UNREACHABLE,
    OUTCOME_UNKNOWN: exit_codes.UNREACHABLE,
    UNTRUSTED: exit_codes.UNREACHABLE,
    BAD_CERTIFICATE: exit_codes.USAGE,
    CONFLICTING: exit_codes.CONFLICT,
    REFUSED: exit_codes.FAILED,
}
_HINTS = {
    CONFLICTING: 'read the row again and repeat the command',
    OUTCOME_UNKNOWN: 'the edit may have taken effect; read the row to check',
}
_PEM_FILE = click.Path(exists=True, dir_okay=False)
_OPTIONS = (
    click.option(
        '--router',
        envvar='BALSAMREACH_ROUTER',
        default='http://127.0.0.1:8081',
        show_default=True,
        show_envvar=True,
        metavar='URL',
        help="URL of any router's operators' listener.",
    ),
    click.option(
        '--key',
        'secret',
        envvar='BALSAMREACH_OPERATOR_KEY',
        default='',
        show_envvar=True,
        help='Operator key; the variable or a file is safer.',
    ),
    click.option(
        '--key-file',
        envvar='BALSAMREACH_OPERATOR_KEY_FILE',
        type=click.Path(exists=True, dir_okay=False),
        show_envvar=True,
        help='File that contains the operator key.',
    ),
    click.option(
        '--ca',
        envvar='BALSAMREACH_CA',
        type=_PEM_FILE,
        show_envvar=True,
        help="PEM file of the router's CA, for https.",
    ),
    click.option(
        '--certificate',
        envvar='BALSAMREACH_CERTIFICATE',
        type=_PEM_FILE,
        show_envvar=True,
        help='PEM certificate to show if the listener asks for one.',
    ),
    click.option(
        '--certificate-key',
        envvar='BALSAMREACH_CERTIFICATE_KEY',
        type=_PEM_FILE,
        show_envvar=True,
        help='PEM file of its key, unless the certificate file contains it.',
    ),
    click.option(
        '--author',
        envvar='BALSAMREACH_AUTHOR',
        default='operator',
        show_envvar=True,
        help='Your name, for the history.',
    ),
    click.option('--json', 'as_json', is_flag=True, help='Print JSON.'),
)


def operator_command(function: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options to a command, which gets a client made from them."""
    command: Callable[..., Any] = wraps(function)(
        partial(_run_with_client, function),
    )
    for option in reversed(_OPTIONS):
        command = option(command)
    return command


def _run_with_client(function: Callable[..., Any], **options: Any) -> Any:
    client = OperatorsClient(
        url=options.pop('router'),
        key=_read_key(options.pop('secret'), options.pop('key_file')),
        tls=CurlTls(
            ca=options.pop('ca') or '',
            certificate=options.pop('certificate') or '',
            key=options.pop('certificate_key') or '',
        ),
        author=options.pop('author'),
    )
    try:
        return function(client, **options)
    finally:
        client.close()


def unwrap(action: str, answer: Any) -> Any:
    """Return an answer; raise CommandError if it is a fault."""
    if isinstance(answer, ClientFault):
        raise operator_error(action, answer)
    return answer


def operator_error(action: str, fault: ClientFault) -> CommandError:
    """Return the error for a fault, with a hint on what to do."""
    hint = _HINTS.get(fault)
    reason = f'{fault.reason}; {hint}' if hint else fault.reason
    if fault.row is not None:
        shown = json.dumps(fault.row, ensure_ascii=False)
        reason = f'{reason}\nthe current row: {shown}'
    code = _EXIT_CODES.get(fault, exit_codes.FAILED)
    return CommandError(action, fault.because(reason), code)


def print_json(shown: Any) -> None:
    """Print indented JSON."""
    click.echo(json.dumps(shown, indent=2, ensure_ascii=False))


def _read_key(key: str, path: str | None) -> str:
    if path is None:
        return key
    return Path(path).read_text(encoding='utf-8').strip()
