"""Typed rows of the table and their form in the table service."""

import re
from collections.abc import Mapping
from typing import Any

import attrs

from balsamreach.table import checks, conversions
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


@attrs.frozen(kw_only=True, weakref_slot=False)
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

    name: str = attrs.field(validator=checks.name)
    prepaid: int = attrs.field(default=0, validator=checks.count)
    weight: float = attrs.field(default=1, validator=checks.number)
    priority: int = attrs.field(default=0, validator=checks.count)
    concurrency: int = attrs.field(default=0, validator=checks.count)
    requests_per_minute: int = attrs.field(default=0, validator=checks.count)
    tokens_per_minute: int = attrs.field(default=0, validator=checks.count)
    models: dict[str, float] = attrs.field(
        factory=dict,
        converter=conversions.read_weights,
        validator=checks.weights,
    )
    max_tokens: int = attrs.field(default=512, validator=checks.count)
    state: str = attrs.field(
        default=ACTIVE,
        converter=conversions.read_word,
        validator=checks.one_of(ACTIVE, PAUSED),
    )
    key_hashes: tuple[str, ...] = attrs.field(
        default=(),
        converter=conversions.read_texts,
        validator=checks.digests,
    )

    @property
    def key(self) -> str:
        """Key of the row in the table service."""
        return TEAM_PREFIX + self.name


@attrs.frozen(kw_only=True, weakref_slot=False)
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

    name: str = attrs.field(validator=checks.name)
    address: str = attrs.field(validator=checks.address)
    zone: str = attrs.field(
        converter=conversions.read_word,
        validator=checks.name,
    )
    service: str = attrs.field(
        converter=conversions.read_word,
        validator=checks.name,
    )
    kind: str = attrs.field(
        default=ENGINE,
        converter=conversions.read_word,
        validator=checks.one_of(ENGINE, PLAIN_SERVICE),
    )
    models: dict[str, float] = attrs.field(
        factory=dict,
        converter=conversions.read_weights,
        validator=checks.weights,
    )
    weight: float = attrs.field(default=1, validator=checks.number)
    concurrency: int = attrs.field(default=64, validator=checks.count)
    price: int = attrs.field(default=1, validator=checks.count)
    non_idempotent: tuple[str, ...] = attrs.field(
        default=(),
        converter=conversions.read_texts,
        validator=checks.texts,
    )
    trusted_refusals: bool = attrs.field(default=True, validator=checks.flag)
    honours_fences: bool = attrs.field(default=False, validator=checks.flag)
    state: str = attrs.field(
        default=ACTIVE,
        converter=conversions.read_word,
        validator=checks.one_of(ACTIVE, LEAVING, OFF),
    )

    @property
    def key(self) -> str:
        """Key of the row in the table service."""
        return TARGET_PREFIX + self.name


TableRow = TeamRow | TargetRow

_MISSING = re.compile(r'missing \d+ required .*arguments?: (.+)')

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
    if not isinstance(fields, Mapping):
        return BAD_ROW.because(f'{key}: a row must be a JSON object')
    for prefix, kind in _KINDS.items():
        if key.startswith(prefix):
            return _build(kind, key, {'name': key[len(prefix) :], **fields})
    return BAD_ROW.because(f'{key}: keys begin with team/ or target/')


def fields_of(key: str) -> tuple[str, ...]:
    """Return the names of the fields of a row of this key's kind."""
    for prefix, kind in _KINDS.items():
        if key.startswith(prefix):
            return tuple(field.name for field in attrs.fields(kind))
    return ()


def _build(kind: Any, key: str, fields: Mapping[str, Any]) -> Any:
    known = {field.name for field in attrs.fields(kind)}
    for name in fields:
        if name not in known:
            return BAD_ROW.because(f'{key}: {name}: there is no such field')
    try:
        row = kind(**fields)
    except (TypeError, ValueError) as exc:
        return BAD_ROW.because(f'{key}: {_plain(exc)}')
    if row.key != key:
        return BAD_ROW.because(f'{key}: the name inside is {row.name}')
    return row


def _plain(exc: Exception) -> str:
    text = str(exc.args[0]) if exc.args else 'a field has a wrong form'
    missing = _MISSING.search(text)
    if missing is None:
        return text
    fields = missing.group(1).replace("'", '')
    return f'{fields}: must be given'
