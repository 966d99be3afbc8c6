"""Adding and revoking of a team's keys, safe with concurrent edits."""

import secrets
from collections.abc import Callable

from balsamreach.client.faults import CONFLICTING, REFUSED, ClientFault
from balsamreach.client.operators import Answer, OperatorsClient
from balsamreach.table.view import hash_key

_KEY_BYTES = 24
_ATTEMPTS = 5
_MIN_DIGITS = 6

DigestsChange = Callable[[list[str]], list[str] | ClientFault]


def new_key() -> str:
    """Return a new random key."""
    return secrets.token_urlsafe(_KEY_BYTES)


def add_key(client: OperatorsClient, team: str, secret: str) -> Answer:
    """Add a key to a team's row."""
    digest = hash_key(secret)
    return _edit_digests(client, team, lambda digests: [*digests, digest])


def revoke_key(client: OperatorsClient, team: str, prefix: str) -> Answer:
    """Remove the key whose digest begins with the prefix."""
    return _edit_digests(
        client, team, lambda digests: _remove_by_prefix(digests, prefix)
    )


def _remove_by_prefix(
    digests: list[str], prefix: str
) -> list[str] | ClientFault:
    found = [digest for digest in digests if digest.startswith(prefix)]
    if len(prefix) < _MIN_DIGITS or len(found) != 1:
        return REFUSED.because(
            f'{len(found)} keys begin with {prefix!r}; give at least '
            f'{_MIN_DIGITS} digits of one that "team keys list" shows',
        )
    return [digest for digest in digests if digest not in found]


def _edit_digests(
    client: OperatorsClient, team: str, change: DigestsChange
) -> Answer:
    # After a conflict the edit is repeated on the new row, because it replaces
    # the whole list of keys: a concurrent edit between read and write must
    # neither be undone nor make this one fail.
    answer: Answer = CONFLICTING
    for _ in range(_ATTEMPTS):
        row = client.read(f'/table/team/{team}')
        if isinstance(row, ClientFault):
            return row
        digests = change(row['value']['key_hashes'])
        if isinstance(digests, ClientFault):
            return digests
        answer = client.edit(
            f'team/{team}',
            version=row['version'],
            fields={'key_hashes': digests},
        )
        if answer != CONFLICTING:
            return answer
    return answer
