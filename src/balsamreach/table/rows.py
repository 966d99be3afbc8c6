"""Typed rows of the table and their form in the table service."""

from collections.abc import Mapping
from typing import Any

import attrs

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

#: The model name with which a caller leaves the choice to the team's row.
ANY_MODEL = 'auto'

_NAME_LIMIT = 128


def _positive(row: Any, field: attrs.Attribute, number: Any) -> None:
    if isinstance(number, bool) or not isinstance(number, (int, float)):
        raise TypeError(f'{field.name} must be a number')
    if number < 0:
        raise ValueError(f'{field.name} must not be negative')


def _name(row: Any, field: attrs.Attribute, text: Any) -> None:
    if not isinstance(text, str) or not 0 < len(text) <= _NAME_LIMIT:
        raise ValueError(f'{field.name} must be a short text')
    if '/' in text or not text.isprintable():
        raise ValueError(f'{field.name} must not hold a slash')


def _weights(raw: Any) -> dict[str, float]:
    if isinstance(raw, (list, tuple)):
        return dict.fromkeys(raw, 1.0)
    return dict(raw)


def _one_of(*choices: str) -> Any:
    return attrs.validators.in_(choices)


@attrs.frozen(kw_only=True)
class TeamRow:
    """What operators set for one team.

    Parameters
    ----------
    name : str
        Unique name of the team.
    prepaid : int
        Tokens paid for in advance, over all time.
    weight : float
        Share of contended capacity relative to other teams.
    priority : int
        Engines run higher numbers first.
    concurrency : int
        Requests in progress at one router; 0 means no limit.
    requests_per_minute, tokens_per_minute : int
        Rates over the whole fleet; 0 means no limit.
    models : dict of str to float
        Models the team may use with their shares of ``auto`` requests;
        empty means every model.
    max_tokens : int
        Completion length set where a request names none.
    state : str
        ``active`` or ``paused``.
    key_hashes : tuple of str
        SHA-256 of the team's keys in hex.
    """

    name: str = attrs.field(validator=_name)
    prepaid: int = attrs.field(default=0, validator=_positive)
    weight: float = attrs.field(default=1, validator=_positive)
    priority: int = attrs.field(default=0, validator=_positive)
    concurrency: int = attrs.field(default=0, validator=_positive)
    requests_per_minute: int = attrs.field(default=0, validator=_positive)
    tokens_per_minute: int = attrs.field(default=0, validator=_positive)
    models: dict[str, float] = attrs.field(factory=dict, converter=_weights)
    max_tokens: int = attrs.field(default=512, validator=_positive)
    state: str = attrs.field(
        default=ACTIVE,
        validator=_one_of(ACTIVE, PAUSED),
    )
    key_hashes: tuple[str, ...] = attrs.field(default=(), converter=tuple)

    @property
    def key(self) -> str:
        """Key of the row in the table service."""
        return TEAM_PREFIX + self.name


@attrs.frozen(kw_only=True)
class TargetRow:
    """What operators set for one target.

    Parameters
    ----------
    name : str
        Unique name of the target.
    address : str
        ``ip:port`` on which it listens.
    zone : str
        Availability zone it stands in.
    service : str
        Name of the service it is a worker of.
    kind : str
        ``engine`` or ``service``.
    models : dict of str to float
        Models an engine serves; the numbers are shares among targets.
    weight : float
        Share of the service's requests; 0 takes it out of rotation.
    concurrency : int
        Upper bound of requests in progress from one router.
    price : int
        Tokens billed for one call of a plain service.
    non_idempotent : tuple of str
        Leading parts of paths whose calls must run at most once.
    trusted_refusals : bool
        Whether its own word that a request did not run is believed.
    honours_fences : bool
        Whether it refuses orders with an old fencing number.
    state : str
        ``active``, ``leaving`` or ``off``.
    """

    name: str = attrs.field(validator=_name)
    address: str
    zone: str
    service: str = attrs.field(validator=_name)
    kind: str = attrs.field(
        default=ENGINE,
        validator=_one_of(ENGINE, PLAIN_SERVICE),
    )
    models: dict[str, float] = attrs.field(factory=dict, converter=_weights)
    weight: float = attrs.field(default=1, validator=_positive)
    concurrency: int = attrs.field(default=64, validator=_positive)
    price: int = attrs.field(default=1, validator=_positive)
    non_idempotent: tuple[str, ...] = attrs.field(default=(), converter=tuple)
    trusted_refusals: bool = True
    honours_fences: bool = False
    state: str = attrs.field(
        default=ACTIVE,
        validator=_one_of(ACTIVE, LEAVING, OFF),
    )

    @property
    def key(self) -> str:
        """Key of the row in the table service."""
        return TARGET_PREFIX + self.name


TableRow = TeamRow | TargetRow

_KINDS: Mapping[str, type[TeamRow] | type[TargetRow]] = {
    TEAM_PREFIX: TeamRow,
    TARGET_PREFIX: TargetRow,
}


def encode(row: TableRow) -> dict[str, Any]:
    """Return the row as the JSON object kept in the table service."""
    return attrs.asdict(row)


def decode(key: str, fields: Mapping[str, Any]) -> TableRow | TableFault:
    """Read a row from its JSON object.

    Parameters
    ----------
    key : str
        Key of the row; its prefix says which kind of row it is.
    fields : Mapping
        The JSON object.

    Returns
    -------
    TeamRow, TargetRow or TableFault
        The row, or BAD_ROW with the field that is wrong.
    """
    for prefix, kind in _KINDS.items():
        if key.startswith(prefix):
            return _build(kind, key, {'name': key[len(prefix) :], **fields})
    return BAD_ROW.because(f'{key}: keys begin with team/ or target/')


def _build(kind: Any, key: str, fields: Mapping[str, Any]) -> Any:
    try:
        row = kind(**fields)
    except (TypeError, ValueError) as exc:
        return BAD_ROW.because(f'{key}: {_plain(exc)}')
    if row.key != key:
        return BAD_ROW.because(f'{key}: the name inside is {row.name}')
    return row


def _plain(exc: Exception) -> str:
    text = str(exc.args[0]) if exc.args else 'a field has a wrong form'
    return text.replace('TeamRow.__init__() got an ', '').replace(
        'TargetRow.__init__() got an ',
        '',
    )
