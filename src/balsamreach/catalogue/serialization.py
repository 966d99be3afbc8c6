"""Serialization of catalogue entries for messages between routers."""

import json
import zlib

import attrs

from balsamreach.catalogue.catalogue import Catalogue
from balsamreach.placement.evacuations import Evacuation
from balsamreach.placement.places import TargetEntry
from balsamreach.wire.tables import TableRow

#: Key of the configuration's row.
CONFIGURATION = 'configuration'
#: How the keys of targets, and of evacuations, begin.
TARGET = 'target/'
EVACUATION = 'evacuation/'

_IN_FORCE = 'in force'
#: Configurations shrink to a fifth already at the least effort.
_EFFORT = 1
#: Bytes that a packed configuration may grow to; more is none of ours.
_MOST_UNPACKED = 16 * 1024 * 1024


def configuration_row(catalogue: Catalogue) -> TableRow:
    """Return the row of a configuration."""
    packed = zlib.compress(catalogue.write().encode(), _EFFORT)
    return TableRow(CONFIGURATION, catalogue.version, packed=packed)


def read_document(row: TableRow) -> str:
    """Return a configuration's document, empty where there is none."""
    if not row.packed:
        return row.body
    try:
        document = zlib.decompressobj().decompress(row.packed, _MOST_UNPACKED)
        return document.decode()
    except (zlib.error, UnicodeDecodeError):
        # Empty text is no configuration, which is logged where it is read.
        return ''


def order_row(order: Evacuation) -> TableRow:
    """Return the row of an evacuation, or of its end."""
    body = _IN_FORCE if order.in_force else ''
    return TableRow(f'{EVACUATION}{order.zone}', order.version, body)


def read_order(row: TableRow) -> Evacuation:
    """Return the evacuation that a row tells of."""
    return Evacuation(
        zone=row.key.removeprefix(EVACUATION),
        version=row.version,
        in_force=bool(row.body),
    )


def target_row(entry: TargetEntry) -> TableRow:
    """Return the row of a target."""
    body = json.dumps(attrs.asdict(entry))
    return TableRow(f'{TARGET}{entry.target_id}', entry.version, body)


def gone_row(target_id: str, version: int) -> TableRow:
    """Return the row of a target that a change of the list took away."""
    return TableRow(f'{TARGET}{target_id}', version)


def read_target_row(row: TableRow) -> TargetEntry | None:
    """Return the target that a row tells of, None if it can't be read."""
    # A router of another version may tell of fields that this one lacks.
    try:
        return TargetEntry(**json.loads(row.body))
    except (TypeError, ValueError):
        return None
