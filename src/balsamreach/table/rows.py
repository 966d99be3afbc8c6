"""Types of table rows and their encoding in the table service."""

import re
from collections.abc import Mapping
from typing import Any

import attrs

from balsamreach.table import conversions, validators
from balsamreach.table.faults import BAD_ROW, TableFault

TEAM_PREFIX = 'table/team/'
TARGET_PREFIX = 'table/target/'
TABLE_PREFIX = 'table/'

ACTIVE = 'active'
PAUSED = 'paused'
LEAVING = 'leaving'
OFF = 'off'

ENGINE = 'engine'
PLAIN_SERVICE = 'service'

#: Model name that lets the router choose by the weights in the team's row.
ANY_MODEL = 'auto'


@attrs.frozen(kw_only=True, weakref_slot=False)
class TeamRow:
    """Settings of a team, made by operators.

    Parameters
    ----------
    name : str
        Unique name of the team.
    prepaid : int
        Total of all tokens ever paid for in advance.
    weight : float
        Share of scarce capacity relative to other teams.
    priority : int
        Engines run requests with higher numbers first.
    concurrency : int
        Maximum number of requests in progress per router; 0 means no limit.
    requests_per_minute, tokens_per_minute : int
        Rate limits across the fleet; 0 means no limit.
    models : dict of str to float
        Models the team may use, with their shares of ``auto`` requests; empty
        means every model.
    max_tokens : int
        Completion limit of requests that set none.
        Completion length set where a request names none.
    state : str
        ``active`` or ``paused``.
    key_hashes : tuple of str
        SHA-256 digests of the team's keys in hex.
    """

    name: str = attrs.field(validator=validators.name)
    prepaid: int = attrs.field(default=0, validator=validators.integer)
    weight: float = attrs.field(default=1, validator=validators.number)
    priority: int = attrs.field(default=0, validator=validators.integer)
    concurrency: int = attrs.field(default=0, validator=validators.integer)
    requests_per_minute: int = attrs.field(
        default=0, validator=validators.integer
    )
    tokens_per_minute: int = attrs.field(
        default=0, validator=validators.integer
    )
    models: dict[str, float] = attrs.field(
        factory=dict,
        converter=conversions.to_weights,
        validator=validators.weights,
    )
    max_tokens: int = attrs.field(default=512, validator=validators.integer)
    state: str = attrs.field(
        default=ACTIVE,
        converter=conversions.intern_string,
        validator=validators.one_of(ACTIVE, PAUSED),
    )
    key_hashes: tuple[str, ...] = attrs.field(
        default=(),
        converter=conversions.to_tuple,
        validator=validators.digests,
    )

    @property
    def key(self) -> str:
        """Key of the row in the table service."""
        return TEAM_PREFIX + self.name


@attrs.frozen(kw_only=True, weakref_slot=False)
class TargetRow:
    """Settings of a target, made by operators.

    Parameters
    ----------
    name : str
        Unique name of the target.
    address : str
        ``ip:port`` on which it listens.
    zone : str
        Availability zone of the target.
    service : str
        Service that the target belongs to.
    kind : str
        ``engine`` or ``service``.
    models : dict of str to float
        Models an engine serves, with its share of each model's requests.
    weight : float
        Share of the service's requests; 0 means that it gets none.
    concurrency : int
        Maximum number of requests in progress from one router.
    price : int
        Tokens billed per call of a plain service.
    non_idempotent : tuple of str
        Path prefixes of calls that must run at most once.
    trusted_refusals : bool
        Whether to believe the target that a refused request did not run.
    honours_fences : bool
        Whether the target refuses orders with an old fencing number.
    state : str
        ``active``, ``leaving`` or ``off``.
    """

    name: str = attrs.field(validator=validators.name)
    address: str = attrs.field(validator=validators.address)
    zone: str = attrs.field(
        converter=conversions.intern_string,
        validator=validators.name,
    )
    service: str = attrs.field(
        converter=conversions.intern_string,
        validator=validators.name,
    )
    kind: str = attrs.field(
        default=ENGINE,
        converter=conversions.intern_string,
        validator=validators.one_of(ENGINE, PLAIN_SERVICE),
    )
    models: dict[str, float] = attrs.field(
        factory=dict,
        converter=conversions.to_weights,
        validator=validators.weights,
    )
    weight: float = attrs.field(default=1, validator=validators.number)
    concurrency: int = attrs.field(default=64, validator=validators.integer)
    price: int = attrs.field(default=1, validator=validators.integer)
    non_idempotent: tuple[str, ...] = attrs.field(
        default=(),
        converter=conversions.to_tuple,
        validator=validators.strings,
    )
    trusted_refusals: bool = attrs.field(
        default=True, validator=validators.boolean
    )
    honours_fences: bool = attrs.field(
        default=False, validator=validators.boolean
    )
    state: str = attrs.field(
        default=ACTIVE,
        converter=conversions.intern_string,
        validator=validators.one_of(ACTIVE, LEAVING, OFF),
    )

    @property
    def key(self) -> str:
        """Key of the row in the table service."""
        return TARGET_PREFIX + self.name


TableRow = TeamRow | TargetRow

_MISSING_ARGUMENTS = re.compile(r'missing \d+ required .*arguments?: (.+)')

_ROW_TYPES: Mapping[str, type[TeamRow] | type[TargetRow]] = {
    TEAM_PREFIX: TeamRow,
    TARGET_PREFIX: TargetRow,
}


def encode(row: TableRow) -> dict[str, Any]:
    """Return the row as the JSON object for the table service."""
    return attrs.asdict(row)


def decode(key: str, fields: Mapping[str, Any]) -> TableRow | TableFault:
    """Decode a row from its JSON object.

    Parameters
    ----------
    key : str
        Key of the row; its prefix tells the kind.
    fields : Mapping
        The JSON object.

    Returns
    -------
    TeamRow, TargetRow or TableFault
        The row, or BAD_ROW with the invalid field in its reason.
    """
    if not isinstance(fields, Mapping):
        return BAD_ROW.because(f'{key}: a row must be a JSON object')
    for prefix, row_type in _ROW_TYPES.items():
        if key.startswith(prefix):
            return _build_row(
                row_type, key, {'name': key[len(prefix) :], **fields}
            )
    return BAD_ROW.because(f'{key}: keys start with team/ or target/')


def field_names(key: str) -> tuple[str, ...]:
    """Return the field names of a row with this key, empty if invalid."""
    for prefix, row_type in _ROW_TYPES.items():
        if key.startswith(prefix):
            return tuple(field.name for field in attrs.fields(row_type))
    return ()


def _build_row(row_type: Any, key: str, fields: Mapping[str, Any]) -> Any:
    known = {field.name for field in attrs.fields(row_type)}
    for name in fields:
        if name not in known:
            return BAD_ROW.because(f'{key}: {name}: no such field')
    try:
        row = row_type(**fields)
    except (TypeError, ValueError) as exc:
        return BAD_ROW.because(f'{key}: {_describe_error(exc)}')
    if row.key != key:
        return BAD_ROW.because(
            f'{key}: name: must match the key, not be {row.name}'
        )
    return row


def _describe_error(exc: Exception) -> str:
    text = str(exc.args[0]) if exc.args else 'a field is malformed'
    missing = _MISSING_ARGUMENTS.search(text)
    if missing is None:
        return text
    fields = missing.group(1).replace("'", '')
    return f'{fields}: required'
