"""Reads the settings file of the platform into overrides of our own."""

import os
import tomllib
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

import attrs

from balsamreach.config.faults import BAD_SETTINGS, ConfigFault

#: Environment variable that holds the path of the platform's file.
PATH_VARIABLE = 'BALSAMREACH_BOOT'


@attrs.frozen
class _Key:
    """How one field of the platform's file becomes a key of ours.

    Parameters
    ----------
    field : str
        Its name there, tables separated by dots.
    key : str
        ``section.key`` here.
    unit : str
        Unit that our text needs behind the number.
    part : str
        ``address`` or ``port``, where the field holds both.
    optional : bool
        Whether it may be missing; our default holds then.
    """

    field: str
    key: str
    unit: str = ''
    part: str = ''
    optional: bool = False


#: The platform calls a host a machine and a router a node; what it calls a
#: front is our listener for callers.
_KEYS = (
    _Key('node', 'host.name'),
    _Key('ip', 'host.address'),
    _Key('zone', 'host.zone'),
    _Key('limits.link_mbps', 'host.link', unit='whole', optional=True),
    _Key('listen.front', 'callers.address', part='address'),
    _Key('listen.front', 'callers.port', part='port'),
    _Key('listen.ready', 'probes.address', part='address'),
    _Key('listen.ready', 'probes.port', part='port'),
    # The platform leaves it to us what a role speaks on "control"; there the
    # routers listen for each other, and ``seeds`` names such addresses.
    _Key('listen.control', 'peers.address', part='address'),
    _Key('listen.control', 'peers.port', part='port'),
    _Key('seeds', 'peers.seeds', unit='list'),
    _Key('bounds.retry_budget_ratio', 'relay.retry_share', unit='share'),
    _Key('bounds.budget_slack', 'relay.retry_slack', unit='whole'),
    _Key('bounds.budget_window_s', 'relay.retry_window', unit='s'),
    _Key('bounds.grace_s', 'relay.grace', unit='s'),
)
_STORE = 'platform.address'


def read_boot(path: str | None = None) -> tuple[str, ...] | ConfigFault:
    """Return the platform's settings as overrides of our settings.

    Parameters
    ----------
    path : str or None
        The platform's file; None for the one that the environment names.

    Returns
    -------
    tuple of str or ConfigFault
        Texts like ``callers.port=8080``; BAD_SETTINGS with every problem.
    """
    path = path or os.environ.get(PATH_VARIABLE, '')
    if not path:
        return BAD_SETTINGS.listing(
            (f'{PATH_VARIABLE}: not set; name the settings file in it',),
        )
    fields = _load(Path(path))
    if isinstance(fields, ConfigFault):
        return fields
    problems: list[str] = []
    overrides = list(_overrides(fields, path, problems))
    if problems:
        return BAD_SETTINGS.listing(tuple(problems))
    return tuple(overrides)


def _load(path: Path) -> Mapping[str, Any] | ConfigFault:
    try:
        return tomllib.loads(path.read_text(encoding='utf-8'))
    except OSError as exc:
        problem = f'{path}: {exc.strerror}; name a readable file'
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as exc:
        problem = f'{path}: not TOML: {exc}'
    return BAD_SETTINGS.listing((problem,))


def _overrides(
    fields: Mapping[str, Any],
    path: str,
    problems: list[str],
) -> Iterator[str]:
    store = _find(fields, _STORE)
    if store is None:
        problems.append(f'{path}: [platform] address: missing; name the store')
    yield f'platform.table=http://{store}'
    for key in _KEYS:
        found = _find(fields, key.field)
        if found is None and key.optional:
            continue
        if found is None:
            section, _, name = key.field.rpartition('.')
            problems.append(f'{path}: [{section}] {name}: missing')
            continue
        yield f'{key.key}={_text(found, key)}'


def _find(fields: Any, dotted: str) -> Any:
    for name in dotted.split('.'):
        if isinstance(fields, list) and name.isdecimal():
            fields = fields[int(name)] if int(name) < len(fields) else None
        elif isinstance(fields, Mapping):
            fields = fields.get(name)
        else:
            return None
    return fields


def _text(found: Any, key: _Key) -> str:
    if key.part:
        address, _, port = str(found).rpartition(':')
        return address if key.part == 'address' else port
    if key.unit == 'share':
        return f'{found * 100:g}%'
    if key.unit == 'list':
        return ','.join(found)
    if key.unit == 'whole':
        return str(int(found))
    return f'{found}{key.unit}'
