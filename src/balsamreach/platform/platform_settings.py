"""Converts the platform's settings file into overrides of our settings."""

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
class _FieldMapping:
    """Maps a field of the platform's file to one of our settings.

    Parameters
    ----------
    field : str
        Dotted path of the field in the TOML file.
    setting : str
        Our setting, as ``section.key``.
    unit : str
        Suffix to append to the number (``s``), or how to format the value:
        ``whole`` as an integer, ``share`` as a percentage, ``list`` as
        comma-separated values.
    part : str
        ``address`` or ``port``, if the field holds ``address:port``.
    optional : bool
        Whether the field may be missing; our default applies then.
    """

    field: str
    setting: str
    unit: str = ''
    part: str = ''
    optional: bool = False


#: The platform calls a host a machine, a router a node and the listener for
#: callers a front.
_FIELD_MAPPINGS = (
    _FieldMapping('node', 'host.name'),
    _FieldMapping('ip', 'host.address'),
    _FieldMapping('zone', 'host.zone'),
    _FieldMapping('limits.link_mbps', 'host.link', unit='whole', optional=True),
    _FieldMapping('limits.memory_mb', 'host.memory', unit='MiB', optional=True),
    _FieldMapping(
        'limits.max_fds', 'host.descriptors', unit='whole', optional=True
    ),
    _FieldMapping(
        'first_start', 'host.first_start', unit='flag', optional=True
    ),
    _FieldMapping('listen.front', 'callers.address', part='address'),
    _FieldMapping('listen.front', 'callers.port', part='port'),
    _FieldMapping('listen.ready', 'probes.address', part='address'),
    _FieldMapping('listen.ready', 'probes.port', part='port'),
    # The platform doesn't prescribe a protocol for "control". Routers accept
    # peer connections there, and ``seeds`` holds such addresses.
    _FieldMapping('listen.control', 'peers.address', part='address'),
    _FieldMapping('listen.control', 'peers.port', part='port'),
    # The platform leaves these ports to what routers send each other.
    _FieldMapping(
        'port_range.0', 'peers.forwarding_port', unit='whole', optional=True
    ),
    _FieldMapping('seeds', 'peers.seeds', unit='list'),
    _FieldMapping(
        'bounds.retry_budget_ratio', 'relay.retry_share', unit='share'
    ),
    _FieldMapping('bounds.budget_slack', 'relay.retry_slack', unit='whole'),
    _FieldMapping('bounds.budget_window_s', 'relay.retry_window', unit='s'),
    _FieldMapping('bounds.grace_s', 'relay.grace', unit='s'),
)
_STORE_ADDRESS = 'platform.address'


def read_platform_settings(
    path: str | None = None,
) -> tuple[str, ...] | ConfigFault:
    """Read the platform's settings file as overrides of our settings.

    Parameters
    ----------
    path : str or None
        Path of the file; None to take it from BALSAMREACH_BOOT.

    Returns
    -------
    tuple of str or ConfigFault
        Overrides such as ``callers.port=8080``, or BAD_SETTINGS that lists
        every problem.
    """
    path = path or os.environ.get(PATH_VARIABLE, '')
    if not path:
        return BAD_SETTINGS.listing(
            (f'{PATH_VARIABLE}: not set; name the settings file in it',),
        )
    fields = _load_toml(Path(path))
    if isinstance(fields, ConfigFault):
        return fields
    problems: list[str] = []
    overrides = list(_overrides(fields, path, problems))
    if problems:
        return BAD_SETTINGS.listing(tuple(problems))
    return tuple(overrides)


def _load_toml(path: Path) -> Mapping[str, Any] | ConfigFault:
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
    store = _get_nested(fields, _STORE_ADDRESS)
    if store is None:
        problems.append(f'{path}: [platform] address: missing; name the store')
    yield f'platform.table=http://{store}'
    for mapping in _FIELD_MAPPINGS:
        value = _get_nested(fields, mapping.field)
        if value is None and mapping.optional:
            continue
        if value is None:
            section, _, name = mapping.field.rpartition('.')
            problems.append(f'{path}: [{section}] {name}: missing')
            continue
        yield f'{mapping.setting}={_format_value(value, mapping)}'


def _get_nested(fields: Any, dotted: str) -> Any:
    for name in dotted.split('.'):
        if isinstance(fields, list) and name.isdecimal():
            fields = fields[int(name)] if int(name) < len(fields) else None
        elif isinstance(fields, Mapping):
            fields = fields.get(name)
        else:
            return None
    return fields


def _format_value(value: Any, mapping: _FieldMapping) -> str:
    if mapping.part:
        address, _, port = str(value).rpartition(':')
        return address if mapping.part == 'address' else port
    if mapping.unit == 'share':
        return f'{value * 100:g}%'
    if mapping.unit == 'list':
        return ','.join(value)
    if mapping.unit == 'flag':
        return 'yes' if value is True else 'no'
    if mapping.unit == 'whole':
        return str(int(value))
    return f'{value}{mapping.unit}'
