"""Serialization of catalogue entries for messages between routers."""

import json
import zlib

import attrs

from balsamreach.catalogue.catalogue import Catalogue
from balsamreach.json_input import read_json
from balsamreach.placement.entry_bounds import is_sound
from balsamreach.placement.evacuations import Evacuation
from balsamreach.placement.relay_targets import TargetEntry
from balsamreach.wire.tables import TableRow

#: Key of the configuration's row.
CONFIGURATION_KEY = 'configuration'
#: Prefixes of the keys of targets and evacuations.
TARGET_PREFIX = 'target/'
EVACUATION_PREFIX = 'evacuation/'

_IN_FORCE = 'in force'
_TARGET_FIELDS = frozenset(field.name for field in attrs.fields(TargetEntry))
#: The lowest compression level already shrinks configurations to a fifth.
_COMPRESSION_LEVEL = 1
#: Maximum bytes of an unpacked configuration; a larger one can't be from a
#: router.
_MAX_UNPACKED_BYTES = 16 * 1024 * 1024


def configuration_row(catalogue: Catalogue) -> TableRow:
    """Return the row of a configuration."""
    packed = zlib.compress(catalogue.write().encode(), _COMPRESSION_LEVEL)
    return TableRow(CONFIGURATION_KEY, catalogue.version, packed=packed)


def read_document(row: TableRow) -> str:
    """Return a configuration's document, empty if it can't be unpacked."""
    if not row.packed:
        return row.body
    try:
        document = zlib.decompressobj().decompress(
            row.packed, _MAX_UNPACKED_BYTES
        )
        return document.decode()
    except (zlib.error, UnicodeDecodeError):
        # An empty document is no valid configuration, which is logged where it
        # is parsed.
        return ''


def evacuation_row(evacuation: Evacuation) -> TableRow:
    """Return the row of an evacuation, or of its end."""
    body = _IN_FORCE if evacuation.in_force else ''
    return TableRow(
        f'{EVACUATION_PREFIX}{evacuation.zone}', evacuation.version, body
    )


def read_evacuation(row: TableRow) -> Evacuation:
    """Parse the row of an evacuation."""
    return Evacuation(
        zone=row.key.removeprefix(EVACUATION_PREFIX),
        version=row.version,
        in_force=bool(row.body),
    )


def target_row(entry: TargetEntry) -> TableRow:
    """Return the row of a target."""
    body = json.dumps(attrs.asdict(entry))
    return TableRow(f'{TARGET_PREFIX}{entry.target_id}', entry.version, body)


def removed_target_row(target_id: str, version: int) -> TableRow:
    """Return the row of a target that was removed from the list."""
    return TableRow(f'{TARGET_PREFIX}{target_id}', version)


def read_target_row(row: TableRow) -> TargetEntry | None:
    """Parse the row of a target.

    Returns
    -------
    TargetEntry or None
        None if the row can't be read, or holds what a router of an older
        release took from an invalid entry of the list.
    """
    try:
        fields = read_json(row.body)
        # A newer router sends fields that this one doesn't know.
        known = {name: fields[name] for name in _TARGET_FIELDS & fields.keys()}
        entry = TargetEntry(**known)
    except (AttributeError, TypeError, ValueError):
        return None
    return entry if is_sound(entry) else None
