"""Bounds of the fields of a target's entry.

Anyone can write entries of the list. A value beyond these bounds would fail
far from where it is read: in arithmetic, in a header or address of a request,
or in a message about all targets.
"""

import ipaddress
import re

from balsamreach.placement.relay_targets import TargetEntry

#: Maximum number of requests that one target runs at once.
MAX_SLOTS = 1_000_000
#: Longest plausible warm-up time in seconds, one day.
MAX_COLD_S = 86_400
#: Largest start of a target; it only orders the incarnations of one id.
MAX_BORN = 2**63 - 1
#: Maximum length of an id, service or zone; the store's keys have that many
#: bytes at most.
MAX_NAME_LENGTH = 200
#: Maximum length of the name of a release.
MAX_RELEASE_LENGTH = 100

_MAX_VERSION = 2**63 - 1
_MAX_PORT = 65_535
_PORT = re.compile(r'[1-9][0-9]{0,4}')
#: Requests name their target in a header, which can't hold other characters.
_ID = re.compile(r'[!-~](?:[ -~]*[!-~])?')
#: Routers pass releases on in headers too.
_RELEASE = re.compile(r'[!-~]*')


def is_sound(entry: TargetEntry) -> bool:
    """Return whether all fields of an entry have their type and bounds.

    Parameters
    ----------
    entry : TargetEntry
        Entry whose fields may have any type, as read from outside.
    """
    return all(
        (
            _is_text(entry.target_id) and _ID.fullmatch(entry.target_id),
            _is_text(entry.service) and entry.service,
            _is_text(entry.zone),
            _is_address(entry.address),
            isinstance(entry.leaving, bool),
            _is_integer(entry.slots, 1, MAX_SLOTS),
            _is_duration(entry.cold_for),
            _is_integer(entry.version, 0, _MAX_VERSION),
            _is_integer(entry.born, 0, MAX_BORN),
            _is_release(entry.release),
        ),
    )


def _is_text(value: object) -> bool:
    # Lone surrogates, which can't be encoded, are not printable either.
    return (
        isinstance(value, str)
        and len(value) <= MAX_NAME_LENGTH
        and value.isprintable()
    )


def _is_release(value: object) -> bool:
    return (
        isinstance(value, str)
        and len(value) <= MAX_RELEASE_LENGTH
        and _RELEASE.fullmatch(value) is not None
    )


def _is_address(value: object) -> bool:
    if not isinstance(value, str):
        return False
    host, _, port = value.partition(':')
    if not _PORT.fullmatch(port) or int(port) > _MAX_PORT:
        return False
    try:
        ip = ipaddress.IPv4Address(host)
    except ValueError:
        # Curl would look up anything else as a name, or read it as octal.
        return False
    return not ip.is_unspecified and not ip.is_multicast


def _is_integer(value: object, least: int, most: int) -> bool:
    # bool is a subclass of int.
    if isinstance(value, bool) or not isinstance(value, int):
        return False
    return least <= value <= most


def _is_duration(value: object) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return 0 <= value <= MAX_COLD_S
