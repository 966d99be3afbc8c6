"""The stored state of power management per service and zone."""

from collections.abc import Mapping
from typing import Any

import attrs

from balsamreach.json_input import JsonFault, read_json
from balsamreach.power.faults import BAD_ROW, PowerFault
from balsamreach.targets.power_holds import LEAVING, OFF, STARTING, STOPPING

KEY_PREFIX = 'power/'

_STATES = (STARTING, LEAVING, STOPPING, OFF)


@attrs.frozen
class HostRecord:
    """State of a host that is not on; hosts that are on have no record.

    Parameters
    ----------
    state : str
        ``starting``, ``leaving``, ``stopping`` or ``off``.
    incarnation : str
        The incarnation that is leaving, or the last known one.
    ordered : bool
        Whether an order to switch it off may have been sent and may still be
        under way.
    """

    state: str = attrs.field(validator=attrs.validators.in_(_STATES))
    incarnation: str = ''
    ordered: bool = False


@attrs.frozen
class PowerRow:
    """State of the hosts of a service in a zone, and their decider.

    Parameters
    ----------
    service, zone : str
        The service and availability zone.
    fence : int
        Fencing number; each commit raises it, so that no two commits give
        orders under the same number.
    holder : str
        Incarnation of the router that decides.
    desired : int
        Number of hosts that should be on.
    commit_id : str
        Tells the holder whether a commit without an answer was its own.
    hosts : Mapping of str to HostRecord
        Records by target name.
    """

    service: str
    zone: str
    fence: int = 0
    holder: str = ''
    desired: int = 0
    commit_id: str = ''
    hosts: Mapping[str, HostRecord] = attrs.field(factory=dict)

    @property
    def key(self) -> str:
        """Key of the row in the table service."""
        return f'{KEY_PREFIX}{self.service}/{self.zone}'

    def with_host(self, name: str, record: HostRecord | None) -> 'PowerRow':
        """Return the row with one record replaced; None removes it."""
        hosts = dict(self.hosts)
        hosts.pop(name, None)
        if record is not None:
            hosts[name] = record
        return attrs.evolve(self, hosts=hosts)


def encode(row: PowerRow) -> dict[str, Any]:
    """Return the row as the JSON object kept in the table service."""
    return attrs.asdict(row)


def decode(fields: Mapping[str, Any]) -> PowerRow | PowerFault:
    """Read a row from its JSON object.

    Returns
    -------
    PowerRow or PowerFault
        The row, or BAD_ROW.
    """
    try:
        return _build(fields)
    except (AttributeError, TypeError, ValueError) as exc:
        return BAD_ROW.because(f'not a power row: {exc!r}')


def decode_text(text: str) -> PowerRow | PowerFault:
    """Read a row from its JSON text, as peers send it."""
    fields = read_json(text)
    if isinstance(fields, JsonFault):
        return BAD_ROW.because('not JSON')
    return decode(fields)


def _build(fields: Mapping[str, Any]) -> PowerRow:
    raw = dict(fields)
    records = raw.pop('hosts', {})
    hosts = {name: HostRecord(**record) for name, record in records.items()}
    return PowerRow(hosts=hosts, **raw)
